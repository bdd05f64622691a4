package configsync

import (
	"context"

	"guavapaddle/core/config/head"
	"guavapaddle/core/row"
)

// bodyPrefix is the prefix of the object store's keys of bodies.
const bodyPrefix = "config/"

type (
	// Table is the part of the table service's client that an Applier uses.
	Table interface {
		Reader
		Transact(ctx context.Context, tx row.Tx) (row.Result, error)
	}

	// Reader reads rows of the table service.
	Reader interface {
		Read(ctx context.Context, keys ...string) ([]row.Row, error)
	}

	// Store is the part of the object store's client that an Applier uses.
	Store interface {
		Getter
		Put(ctx context.Context, key string, body []byte) error
	}

	// Getter reads the object store.
	Getter interface {
		Get(ctx context.Context, key string) ([]byte, error)
	}

	// Peer is another node. The peer must compute the reply to each call when
	// it receives the call; cached replies are not allowed.
	Peer interface {
		// FetchConfig returns the packed body with the hash: the peer's Follower.PackedBody.
		FetchConfig(ctx context.Context, hash string) ([]byte, error)
		// ConfigHead returns the version that the peer has in force and whether
		// the peer is fresh: its Follower.Head.
		ConfigHead(ctx context.Context) (ref head.Ref, fresh bool, err error)
	}
)

// BodyKey returns the object store's key of the body with the hash.
func BodyKey(hash string) string { return bodyPrefix + hash }
