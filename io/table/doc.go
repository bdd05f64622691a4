// Package table is a client for the platform's transactional table service.
//
// A failed transaction was either certainly not committed (Unavailable) or has an unknown
// outcome (Uncertain), because the response may have been lost after the write took effect.
// The client never repeats a call. After Uncertain, the caller reads back what was written,
// identified by an attempt id in the value.
//
// # Usage
//
//	c := &table.Client{Address: "127.0.0.1:9000"}
//	res, err := c.Transact(ctx, row.Tx{}.When("head", 3).Put("head", value))
//	switch table.KindOf(err) {
//	case "":
//		// res reports whether the conditions held.
//	case table.Unavailable:
//		// Not committed; may be retried.
//	case table.Uncertain:
//		// Read back.
//	}
package table
