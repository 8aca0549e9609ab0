// Package stream decides whether the body of a response is complete, and splits streams of
// events. It reads and writes nothing by itself.
//
// The end of a body is no evidence that the body is whole: an answer may end with its
// connection, which also closes when its sender crashes, and a run that resumes a stream
// may end without the events that are due. Judge is the one place where this is decided.
//
// # Usage
//
//	var s stream.Splitter
//	for {
//		n, err := body.Read(buf)
//		events, splitErr := s.Add(buf[:n])
//		...
//		if err != nil {
//			verdict := stream.Judge(s.Ending(stream.FramingOf(resp), true, err))
//			...
//		}
//	}
package stream
