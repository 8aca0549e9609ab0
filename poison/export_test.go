package poison

// Keys returns the keys of the reports that are kept.
func (l *Ledger) Keys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order
}

// AnswersRemembered returns the number of features whose last answer is remembered.
func (l *Ledger) AnswersRemembered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers.young) + len(l.answers.old)
}
