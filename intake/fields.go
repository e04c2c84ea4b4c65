package intake

import "google.golang.org/protobuf/encoding/protowire"

// FieldBytes is what a field of a protocol buffer takes once it is decoded and converted, beside its content, at most.
const FieldBytes = 768

// CountFields returns the number of fields of an encoded protocol buffer and of its sub-messages with a field number;
// 0 stands for none. An empty sub-message has two bytes and takes FieldBytes when it is decoded. What follows a
// malformed field does not count, as it is not decoded either.
func CountFields(message []byte, sub protowire.Number) int {
	fields := 0
	for len(message) > 0 {
		number, kind, tag := protowire.ConsumeTag(message)
		if tag < 0 {
			break
		}
		size := protowire.ConsumeFieldValue(number, kind, message[tag:])
		if size < 0 {
			break
		}
		fields++
		if number == sub && kind == protowire.BytesType {
			content, _ := protowire.ConsumeBytes(message[tag:])
			fields += CountFields(content, 0)
		}
		message = message[tag+size:]
	}
	return fields
}
