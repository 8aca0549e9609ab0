package judge

// maxKeptClosed is how many kept connections may be closed without an answer under a request.
const maxKeptClosed = 3

// decideUnanswered: while nothing but planned work disturbs an instance, a request that has reached a
// target is answered, whatever the target does, and few kept connections are closed under a request.
// Rule lost judges answers that are not whole, and only of sound targets.
func decideUnanswered(x *index, v *Verdict) {
	var closed []Break
	x.each(func(r *request) {
		s := r.first()
		if len(r.sent) != 1 || len(r.left) > 0 || len(r.answers) != 1 || !s.Proper {
			return
		}
		a := r.answers[0]
		if _, other := x.disturbances(s.Instance, s.At(), a.At()); other {
			return
		}
		reached := len(r.arrivals) > 0 || len(r.runs) > 0
		if reached || s.Kept {
			v.Exercised++
		}
		if a.Status != 0 {
			return
		}
		b := Break{
			At:       a.At(),
			Text:     r.id + " reached a target and its connection ended without an answer",
			Requests: []string{r.id},
		}
		switch {
		case reached:
			v.Breaks = append(v.Breaks, b)
		case s.Kept:
			b.Text = r.id + ": a kept connection was closed without an answer under it"
			closed = append(closed, b)
		}
	})
	if len(closed) > maxKeptClosed {
		v.Breaks = append(v.Breaks, closed...)
	}
}
