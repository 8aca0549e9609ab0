package wire

// IsRepeatable reports whether a call may be made twice: it only reads, or the instance that gets it
// recognises the second one.
func IsRepeatable(method string) bool {
	switch method {
	case MethodRequestAdmission, MethodReportProgress, MethodPing, MethodTakeToken, MethodPush, MethodChanges, MethodLastAnswers, MethodCopy,
		MethodStatus, MethodNewest, MethodConfig, MethodHolds, MethodTakeSlot, MethodEndSlot, MethodCollectUsage, MethodCollectLoad,
		MethodHandOver:
		return true
	default:
		return false
	}
}
