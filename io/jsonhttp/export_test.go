package jsonhttp

import "net"

// Conn is a connection that can be sealed.
type Conn = conn

// NewConn returns a connection on top of nc.
func NewConn(nc net.Conn) *Conn { return &conn{Conn: nc} }

// Seal seals the connection.
func (c *conn) Seal() uint64 { return c.seal() }
