// Package stream deals with the bodies of responses: how their end is marked.
//
// # Usage
//
//	framing := stream.FramingOf(resp)
package stream
