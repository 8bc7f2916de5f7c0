package peer

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// maxPackedBytes is the size, in bytes, up to which items are packed into one message. It leaves
// room in a frame for one item that is larger, and for the fields beside the items.
const maxPackedBytes = MaxFrame / 4

// MaxCheckpointBytes is the longest checkpoint that a report may have. With it, an order that
// carries it fits into a frame as well.
const MaxCheckpointBytes = maxPackedBytes

// itemSize returns the size, in bytes, that an item of n encoded bytes takes in a message.
func itemSize(n int) int { return protowire.SizeTag(1) + protowire.SizeBytes(n) }

// pack splits items into lists that each fit into one message, in their order.
func pack[M proto.Message](items []M) [][]M {
	var lists [][]M

	size := 0

	for _, m := range items {
		n := itemSize(proto.Size(m))
		if size == 0 || size+n > maxPackedBytes {
			lists = append(lists, nil)
			size = 0
		}

		size += n
		lists[len(lists)-1] = append(lists[len(lists)-1], m)
	}

	return lists
}
