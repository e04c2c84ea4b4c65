package configuration

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/configuration/configurationpb"
)

// digest is the version that a VM has in force. Times are of the sender's clock.
type digest struct {
	version uint64
	sentAt  time.Duration
	// readAt is when the sender sent its newest complete read of the store;
	// only valid with hasRead.
	readAt  time.Duration
	hasRead bool
}

func (d digest) encode() []byte {
	return encode(&configurationpb.Message{Content: &configurationpb.Message_Digest{
		Digest: &configurationpb.Digest{
			Version: d.version,
			SentMs:  uint64(d.sentAt.Milliseconds()),
			ReadMs:  uint64(d.readAt.Milliseconds()),
			HasRead: d.hasRead,
		},
	}})
}

func decodeDigest(in *configurationpb.Digest) digest {
	return digest{
		version: in.GetVersion(),
		sentAt:  time.Duration(in.GetSentMs()) * time.Millisecond,
		readAt:  time.Duration(in.GetReadMs()) * time.Millisecond,
		hasRead: in.GetHasRead(),
	}
}

func encodePull(since uint64) []byte {
	return encode(&configurationpb.Message{Content: &configurationpb.Message_Pull{
		Pull: &configurationpb.Pull{Since: since},
	}})
}

func encodeChanges(set ChangeSet) []byte {
	out := &configurationpb.Changes{Since: set.Since, Version: set.Version}
	for _, row := range set.Rows {
		out.Rows = append(out.Rows, &configurationpb.Row{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	return encode(&configurationpb.Message{Content: &configurationpb.Message_Changes{Changes: out}})
}

func decodeChanges(in *configurationpb.Changes) ChangeSet {
	set := ChangeSet{Since: in.GetSince(), Version: in.GetVersion()}
	for _, row := range in.GetRows() {
		set.Rows = append(set.Rows, Row{Key: row.GetKey(), Version: row.GetVersion(), Value: row.GetValue()})
	}
	return set
}

// encode marshals a message. It can't fail for messages of this package: they
// hold no invalid UTF-8, since keys are checked on arrival.
func encode(m *configurationpb.Message) []byte {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return body
}

func decode(body []byte) (*configurationpb.Message, error) {
	m := &configurationpb.Message{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("unreadable configuration message: run the same release on all VMs: %w", err)
	}
	return m, nil
}
