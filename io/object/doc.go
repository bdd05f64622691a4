// Package object is a client for the platform's object store.
//
// # Usage
//
//	c := &object.Client{Address: "127.0.0.1:9000"}
//	err := c.Put(ctx, "config/"+hash, body)
//	body, err := c.Get(ctx, "config/"+hash)
//	if object.KindOf(err) == object.NotFound {
//		// The object does not exist.
//	}
package object
