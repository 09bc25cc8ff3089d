package fleet

import (
	"context"
	"time"
)

// Topic names a log of the store.
type Topic string

// Record is one record of a topic. A record without a value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Page is part of the newest record of each key of a topic. Pages of one topic
// are not a snapshot.
type Page struct {
	Records []Record
	Next    string // the key to continue after, empty on the last page
	End     Offset // where the topic ends
}

// Batch is a run of records in the order of the topic.
type Batch struct {
	Records []Record
	Next    Offset // where the next read begins
}

// Store is the platform's store of keyed logs. Its errors are of type *Error;
// an append in Doubt may still take effect later if its condition then holds.
type Store interface {
	// Append adds all records or none and returns the new end. The topic must
	// end at offset at, unless that is negative; else the error is Moved.
	Append(ctx context.Context, topic Topic, at Offset, records []Record) (Offset, error)
	// Newest returns the newest records of the keys after a key.
	Newest(ctx context.Context, topic Topic, after string) (Page, error)
	// Read returns the records from an offset on and waits for the first.
	Read(ctx context.Context, topic Topic, from Offset, wait time.Duration) (Batch, error)
}
