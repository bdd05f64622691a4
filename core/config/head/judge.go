package head

import "guavapaddle/core/row"

// Verdict is the outcome of a proposal.
type Verdict string

const (
	// Won means that the proposal was accepted and is the newest.
	Won Verdict = "won"
	// Superseded means that the proposal was accepted and a later one after it.
	Superseded Verdict = "superseded"
	// Lost means that another proposal was accepted for the same version. This one
	// never takes effect.
	Lost Verdict = "lost"
	// Pending means that the proposal has not taken effect but still may if its
	// transaction is in flight. Resending the transaction resolves this.
	Pending Verdict = "pending"
	// Forgotten means that the history row of the proposal's version was pruned,
	// so the outcome can't be determined.
	Forgotten Verdict = "forgotten"
)

// Judgement is a verdict and the head that it is based on.
type Judgement struct {
	Verdict Verdict
	Winner  Head // if Lost, the head accepted for the same version; otherwise the newest head
}

// Judge determines the outcome of a proposal from the head row and the history
// row of its version, which must both be read after the proposal was sent. The
// error is a *MalformedError.
func Judge(own Head, headRow, historyRow row.Row) (Judgement, error) {
	newest, err := Parse(headRow)
	if err != nil {
		return Judgement{}, err
	}
	accepted, err := Parse(historyRow)
	if err != nil {
		return Judgement{}, err
	}
	switch {
	case newest.ApplyID == own.ApplyID:
		return Judgement{Verdict: Won, Winner: newest}, nil
	case historyRow.Revision != 0 && accepted.ApplyID == own.ApplyID:
		return Judgement{Verdict: Superseded, Winner: newest}, nil
	case historyRow.Revision != 0:
		return Judgement{Verdict: Lost, Winner: accepted}, nil
	case newest.Version < own.Version:
		return Judgement{Verdict: Pending, Winner: newest}, nil
	default:
		return Judgement{Verdict: Forgotten, Winner: newest}, nil
	}
}
