// Package table is a stand-in for the platform's transactional table service.
// It keeps its rows in memory and commits transactions serially.
//
// # Usage
//
//	t := &table.Table{}
//	address, err := t.Start()
//	defer t.Close()
//	t.Faults.SetFaults(fault.Faults{DropAnswers: 1})
package table
