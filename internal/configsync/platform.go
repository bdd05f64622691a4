package configsync

import (
	"context"

	"guavapaddle/core/config/head"
	"guavapaddle/core/row"
)

// bodyPrefix begins the keys of bodies in the object store.
const bodyPrefix = "config/"

type (
	// Table is the table service, as io/table speaks to it.
	Table interface {
		Reader
		Transact(ctx context.Context, tx row.Tx) (row.Result, error)
	}

	// Reader reads rows of the table service.
	Reader interface {
		Read(ctx context.Context, keys ...string) ([]row.Row, error)
	}

	// Store is the object store, as io/object speaks to it.
	Store interface {
		Getter
		Put(ctx context.Context, key string, body []byte) error
	}

	// Getter reads the object store.
	Getter interface {
		Get(ctx context.Context, key string) ([]byte, error)
	}

	// Peer is another node. Both calls are questions that the peer answers when
	// it gets them: an answer that was sent before may not be given.
	Peer interface {
		// FetchConfig returns the body with a hash: the peer's Follower.Packed.
		FetchConfig(ctx context.Context, hash string) ([]byte, error)
		// ConfigHead returns what the peer has in force and whether it is
		// fresh: the peer's Follower.Head.
		ConfigHead(ctx context.Context) (ref head.Ref, fresh bool, err error)
	}
)

// BodyKey returns the object store's key of the body with a hash.
func BodyKey(hash string) string { return bodyPrefix + hash }
