package head

import "guavapaddle/core/row"

// Verdict tells what became of a proposal.
type Verdict string

const (
	// Won means that the proposal was accepted and is the newest.
	Won Verdict = "won"
	// Superseded means that the proposal was accepted and another came after.
	Superseded Verdict = "superseded"
	// Lost means that another was accepted in its place; it never takes effect.
	Lost Verdict = "lost"
	// Pending means that the proposal has not taken effect and still may, if
	// its transaction is on its way. Sending the transaction again settles it.
	Pending Verdict = "pending"
	// Forgotten means that the history no longer reaches back to the proposal.
	Forgotten Verdict = "forgotten"
)

// Judgement is a verdict with the head that decided it.
type Judgement struct {
	Verdict Verdict
	Rival   Head // accepted in its place if Lost; the newest if Superseded
}

// Judge tells what became of the proposal mine from the head row and the
// history row of its version, both read after the proposal was sent. The error
// is a *MalformedError.
func Judge(mine Head, headRow, historyRow row.Row) (Judgement, error) {
	newest, err := Parse(headRow)
	if err != nil {
		return Judgement{}, err
	}
	accepted, err := Parse(historyRow)
	if err != nil {
		return Judgement{}, err
	}
	switch {
	case newest.ApplyID == mine.ApplyID:
		return Judgement{Verdict: Won, Rival: newest}, nil
	case historyRow.Revision != 0 && accepted.ApplyID == mine.ApplyID:
		return Judgement{Verdict: Superseded, Rival: newest}, nil
	case historyRow.Revision != 0:
		return Judgement{Verdict: Lost, Rival: accepted}, nil
	case newest.Version < mine.Version:
		return Judgement{Verdict: Pending, Rival: newest}, nil
	default:
		return Judgement{Verdict: Forgotten, Rival: newest}, nil
	}
}
