package intake

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

// The number of elements is that of the decoded list, whatever its elements contain.
func TestFuzzElementsAreCountedAsDecoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a,\[\]{}"\\ ]*`)
		element := rapid.OneOf(
			rapid.Map(text, func(s string) any { return s }),
			rapid.Map(rapid.SliceOf(text), func(s []string) any { return s }),
			rapid.Map(rapid.MapOf(text, rapid.Int()), func(m map[string]int) any { return m }),
		)
		list := rapid.SliceOfN(element, 1, 20).Draw(t, "list")
		encoded, err := json.Marshal(list)
		must.NoError(t, err)
		must.Eq(t, len(list), CountElements(encoded))
	})
}

func TestFieldsOfMessageAndSubMessageAreCounted(t *testing.T) {
	sub := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 300)
	sub = protowire.AppendBytes(protowire.AppendTag(sub, 2, protowire.BytesType), nil)
	message := protowire.AppendBytes(protowire.AppendTag(nil, 4, protowire.BytesType), sub)
	message = protowire.AppendFixed64(protowire.AppendTag(message, 5, protowire.Fixed64Type), 1)
	must.Eq(t, 4, CountFields(message, 4))
	must.Eq(t, 2, CountFields(message, 5))
	must.Eq(t, 2, CountFields(message, 0))
	must.Eq(t, 1, CountFields(message[:len(message)-1], 0))
	must.Eq(t, 0, CountFields(nil, 4))
}
