package configsync

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
)

// maxFetchPeers is how many peers are queried for a body at once.
const maxFetchPeers = 3

// errNoPeer means that no live peer returned the body.
var errNoPeer = eris.New("no live peer has the body")

// fetchLoop fetches and adopts versions newer than the one in force.
func (f *Follower) fetchLoop(ctx context.Context) error {
	b := failBackoff()
	for {
		f.mu.Lock()
		ref, behind := f.state.Missing()
		f.mu.Unlock()
		if !behind {
			b.Reset()
			select {
			case <-f.wakeFetch:
			case <-ctx.Done():
				return context.Cause(ctx)
			}
			continue
		}
		err := f.adopt(ctx, ref)
		if err == nil {
			continue
		}
		f.Log.Warn("config-fetch", zap.Uint64("version", ref.Version), zap.String("hash", ref.Hash), zap.Error(err))
		if err := waitOr(ctx, b.NextBackOff(), f.wakeFetch); err != nil {
			return err
		}
	}
}

// adopt fetches the body of ref and puts it in force.
func (f *Follower) adopt(ctx context.Context, ref head.Ref) error {
	body, source, err := f.fetch(ctx, ref.Hash)
	if err != nil {
		return err
	}
	doc, err := config.Parse(body)
	if err != nil {
		f.Metrics.rejected.Inc()
		return err
	}
	index := config.NewIndex(doc, ref.Version)
	// OnChange is called first, so that a node that reports a version already serves it.
	if f.OnChange != nil {
		f.OnChange(index)
	}
	packed := pack(body)
	// The line is logged before the state changes, so that a version in the node's status
	// is always found in its log.
	f.Log.Info("config-in-force", zap.Uint64("version", ref.Version), zap.String("hash", ref.Hash), zap.String("source", source))
	if err := f.Log.Sync(); err != nil {
		f.Log.Warn("log-behind", zap.Error(err))
	}
	f.mu.Lock()
	f.state = f.state.WithAdopted(ref)
	f.body, f.packed, f.index = body, packed, index
	f.mu.Unlock()
	f.Metrics.version.Set(float64(ref.Version))
	return nil
}

// fetch returns the body with the hash from the store, or from peers if that fails.
func (f *Follower) fetch(ctx context.Context, hash string) (body []byte, source string, err error) {
	body, err = f.fetchFrom(ctx, fromStore, hash, func(ctx context.Context) ([]byte, error) {
		return f.Store.Get(ctx, BodyKey(hash))
	})
	if err == nil {
		return body, fromStore, nil
	}
	if peerBody, peerErr := f.fetchPeers(ctx, hash); peerErr == nil {
		return peerBody, fromPeer, nil
	}
	return nil, "", err
}

// fetchFrom gets a body from one source and verifies it.
func (f *Follower) fetchFrom(ctx context.Context, source, hash string, get func(context.Context) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.FetchTimeout)
	defer cancel()
	packed, err := get(ctx)
	var body []byte
	if err == nil {
		body, err = unpack(packed, hash)
	}
	f.Metrics.fetches.WithLabelValues(source, result(err)).Inc()
	return body, err
}

// fetchPeers queries a few random peers in parallel and returns the first body
// with the hash.
func (f *Follower) fetchPeers(ctx context.Context, hash string) ([]byte, error) {
	peers, _ := f.somePeers(maxFetchPeers)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bodies := make(chan []byte, len(peers))
	for _, p := range peers {
		go func() {
			body, err := f.fetchFrom(ctx, fromPeer, hash, func(ctx context.Context) ([]byte, error) {
				return p.FetchConfig(ctx, hash)
			})
			if err != nil {
				body = nil
			}
			bodies <- body
		}()
	}
	for range peers {
		if body := <-bodies; body != nil {
			return body, nil
		}
	}
	return nil, errNoPeer
}
