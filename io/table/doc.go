// Package table speaks to the platform's transactional table service.
//
// A failed transaction is either surely not done (Unavailable) or of unknown
// fate (Uncertain): the answer may have been lost after the write took effect.
// The client never repeats a call; who gets Uncertain reads back what was
// written, by an attempt id inside the value.
//
// # Usage
//
//	c := &table.Client{Address: "127.0.0.1:9000"}
//	res, err := c.Transact(ctx, row.Tx{}.When("head", 3).Put("head", value))
//	switch table.KindOf(err) {
//	case "":
//		// res tells whether the conditions held.
//	case table.Unavailable:
//		// Not done; may be tried again.
//	case table.Uncertain:
//		// Read back.
//	}
package table
