package cli

import (
	"context"
	"flag"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
	"guavapaddle/internal/configsync"
	"guavapaddle/io/object"
	"guavapaddle/io/table"
)

// platform holds the addresses of the services that store documents.
type platform struct {
	tableAddress string
	storeAddress string
}

// define registers the flags -table and -objects.
func (p *platform) define(fs *flag.FlagSet) {
	fs.StringVar(&p.tableAddress, "table", "", "`address` (IP:port) of the table service")
	fs.StringVar(&p.storeAddress, "objects", "", "`address` (IP:port) of the object store")
}

// configured reports whether both addresses are set.
func (p *platform) configured() bool { return p.tableAddress != "" && p.storeAddress != "" }

func (p *platform) require() error {
	if !p.configured() {
		return &UsageError{Problem: "flags -table and -objects are required"}
	}
	return nil
}

func (p *platform) table() *table.Client { return &table.Client{Address: p.tableAddress} }

func (p *platform) store() *object.Client { return &object.Client{Address: p.storeAddress} }

// newest returns the document that the head row refers to, and its version. The
// document is nil if none was accepted yet.
func (p *platform) newest(ctx context.Context) (*config.Document, uint64, error) {
	rows, err := p.table().Read(ctx, head.Key)
	if err != nil {
		return nil, 0, err
	}
	h, err := head.Parse(rows[0])
	if err != nil || h.Version == 0 {
		return nil, 0, err
	}
	doc, err := configsync.Fetch(ctx, p.store(), h.Hash)
	return doc, h.Version, err
}
