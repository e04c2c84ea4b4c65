package submission

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
	"google.golang.org/protobuf/proto"
)

const (
	// chunkBytes is the usual size of a chunk. A small budget is split into minChunks
	// smaller ones, because the oldest chunk is dropped as a whole.
	chunkBytes = 64 << 10
	minChunks  = 64
	// indexBytes is an upper bound of the index's memory for one answer.
	indexBytes = 64
)

// A record in a chunk consists of the hash of its key, the fingerprint of its content, the
// length of its outcome, and the outcome, encoded as a response to a peer.
const (
	fingerprintAt = key.HashBytes
	lengthAt      = fingerprintAt + 8
	outcomeAt     = lengthAt + 4
)

// answers keeps the outcomes of ended submissions within a budget of bytes, and drops the
// oldest first. They are stored as bytes without pointers, so that the garbage collector
// does not have to scan them.
type answers struct {
	budget int64
	// chunkBytes is the size of chunks; larger answers have chunks of their own.
	chunkBytes int
	// chunks hold the records, oldest first; the first one has the number oldestChunk.
	chunks      [][]byte
	oldestChunk uint32
	index       map[key.Hash]position
	// maxIndexed is the largest length of index since it was made: a map does not
	// shrink. chunkTotal is the size of all chunks.
	maxIndexed int
	chunkTotal int64
	// dropped counts the answers that were dropped to stay within the budget.
	dropped int64
}

// position is where a record begins. Numbers of chunks wrap around.
type position struct{ chunk, offset uint32 }

func newAnswers(budget int64) *answers {
	return &answers{
		budget:     budget,
		chunkBytes: int(min(chunkBytes, budget/minChunks)),
		index:      map[key.Hash]position{},
	}
}

// bytes returns the memory that the answers and their index take.
func (a *answers) bytes() int64 { return a.chunkTotal + int64(a.maxIndexed)*indexBytes }

// put stores the outcome of a submission, unless it is larger than the budget.
func (a *answers) put(keyText string, fingerprint uint64, o *Outcome) {
	message := toResponse(o)
	size := outcomeAt + proto.Size(message)
	if int64(size+indexBytes) > a.budget {
		a.dropped++
		return
	}
	h := key.HashText(keyText)
	at := a.reserve(size)
	last := &a.chunks[len(a.chunks)-1]
	*last = append(*last, h[:]...)
	*last = binary.LittleEndian.AppendUint64(*last, fingerprint)
	*last = binary.LittleEndian.AppendUint32(*last, uint32(size-outcomeAt))
	*last = appendMessage(*last, message)
	a.index[h] = at
	a.maxIndexed = max(a.maxIndexed, len(a.index))
	for a.bytes() > a.budget {
		a.dropOldest()
	}
}

func appendMessage(b []byte, message proto.Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend(b, message)
	if err != nil {
		panic("submission: can't encode an outcome: " + err.Error())
	}
	return b
}

// reserve makes sure that the last chunk has room for a record, and returns the record's
// position.
func (a *answers) reserve(size int) position {
	n := len(a.chunks)
	if n == 0 || cap(a.chunks[n-1])-len(a.chunks[n-1]) < size {
		// The allocator rounds sizes up, so the capacity is counted.
		chunk := slices.Grow([]byte(nil), max(size, a.chunkBytes))
		a.chunkTotal += int64(cap(chunk))
		a.chunks = append(a.chunks, chunk)
		n++
	}
	return position{chunk: a.oldestChunk + uint32(n-1), offset: uint32(len(a.chunks[n-1]))}
}

// dropOldest drops the oldest chunk with its records.
func (a *answers) dropOldest() {
	chunk := a.chunks[0]
	for offset := 0; offset < len(chunk); {
		record := chunk[offset:]
		delete(a.index, key.Hash(record[:key.HashBytes]))
		a.dropped++
		offset += outcomeAt + outcomeLength(record)
	}
	a.chunkTotal -= int64(cap(chunk))
	a.chunks[0] = nil
	a.chunks = a.chunks[1:]
	a.oldestChunk++
	a.shrinkIndex()
}

// shrinkIndex replaces the index by a smaller one once half of it is unused.
func (a *answers) shrinkIndex() {
	if len(a.index) > a.maxIndexed/2 {
		return
	}
	index := make(map[key.Hash]position, len(a.index))
	maps.Copy(index, a.index)
	a.index, a.maxIndexed = index, len(index)
}

func outcomeLength(record []byte) int {
	return int(binary.LittleEndian.Uint32(record[lengthAt:]))
}

// get returns the outcome of a submission and the fingerprint of its content.
func (a *answers) get(keyText string) (o *Outcome, fingerprint uint64, ok bool) {
	at, ok := a.index[key.HashText(keyText)]
	if !ok {
		return nil, 0, false
	}
	record := a.chunks[at.chunk-a.oldestChunk][at.offset:]
	var message peerpb.WaitResponse
	if err := proto.Unmarshal(record[outcomeAt:outcomeAt+outcomeLength(record)], &message); err != nil {
		panic("submission: can't decode a kept outcome: " + err.Error())
	}
	return fromResponse(&message), binary.LittleEndian.Uint64(record[fingerprintAt:]), true
}
