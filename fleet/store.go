package fleet

import (
	"context"
	"time"
)

// Topic identifies one log of the store.
type Topic string

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Page is one page of a listing of the newest record of each key of a topic.
// The pages of one listing are not a consistent snapshot.
type Page struct {
	Records []Record
	Next    string // the key to continue after, empty on the last page
	End     Offset // end of the topic
}

// Batch is a sequence of consecutive records of a topic.
type Batch struct {
	Records []Record
	Next    Offset // offset to read from next
	End     Offset // end of the topic; above Next if the answer did not hold every record
}

// Store is the platform's store of keyed logs. Its errors are of type *Error.
// An append that failed with OutcomeUnknown may still take effect later, if its
// condition holds then.
type Store interface {
	// Append adds all records or none and returns the new end. Unless at is
	// negative, the topic must end at that offset; otherwise the error is Moved.
	Append(ctx context.Context, topic Topic, at Offset, records []Record) (Offset, error)
	// Newest returns the newest record of each key that sorts after the given one.
	Newest(ctx context.Context, topic Topic, after string) (Page, error)
	// Read returns the records from an offset on; if there is none, it waits for the first.
	Read(ctx context.Context, topic Topic, from Offset, wait time.Duration) (Batch, error)
}
