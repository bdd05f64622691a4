package jsonhttp

import "net"

// Conn exports conn for tests.
type Conn = conn

// NewConn returns a connection that wraps nc.
func NewConn(nc net.Conn) *Conn { return &conn{Conn: nc} }

// Seal exports seal for tests.
func (c *conn) Seal() uint64 { return c.seal() }
