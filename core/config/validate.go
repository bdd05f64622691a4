package config

// Validate returns every problem with what the document says, in the order of
// the document, or nil.
func (d *Document) Validate() []Problem { return nil }
