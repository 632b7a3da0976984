// Package faulty is a stand-in for a worker whose answers break off, are spoiled or never end. It
// writes raw bytes, so that an answer can end at any of them.
package faulty

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Framings are the ways to mark the end of a body.
const (
	ByLength     = "length"
	ByChunks     = "chunks"
	ByConnection = "connection"
)

// Places are where an answer ends.
const (
	// Whole answers end where they should.
	Whole = "whole"
	// BeforeHead, InsideHead and AfterHead precede the body.
	BeforeHead = "before-head"
	InsideHead = "inside-head"
	AfterHead  = "after-head"
	// AfterPiece and InsidePiece are behind and inside a piece of the body, which is an event of a
	// stream. FramedInsidePiece ends inside a piece where the framing states the end.
	AfterPiece        = "after-piece"
	InsidePiece       = "inside-piece"
	FramedInsidePiece = "framed-inside-piece"
	// InsideChunkSize and InsideLastChunk are inside the framing of a chunked body, and
	// InsideTrailer inside the trailer behind it.
	InsideChunkSize = "inside-chunk-size"
	InsideLastChunk = "inside-last-chunk"
	InsideTrailer   = "inside-trailer"
	// ExtraBytes and ExtraAnswer follow a whole answer: bytes that are no answer, and an answer to
	// another request.
	ExtraBytes  = "extra-bytes"
	ExtraAnswer = "extra-answer"
	// Garbage is bytes that are no answer. BadChunkSize is an answer with a chunk size that is no
	// number, TwoLengths one with two different lengths.
	Garbage      = "garbage"
	BadChunkSize = "bad-chunk-size"
	TwoLengths   = "two-lengths"
	// EndlessHead and EndlessPiece go on until the caller closes.
	EndlessHead  = "endless-head"
	EndlessPiece = "endless-piece"
)

// Ends are what follows at the place where an answer ends.
const (
	// FIN closes the connection in order, RST resets it, and Silence keeps it open and sends
	// nothing more. Exit ends the worker, whose connections close in order.
	FIN     = "fin"
	RST     = "rst"
	Silence = "silence"
	Exit    = "exit"
)

// Script states how one answer is framed and where and how it ends.
type Script struct {
	Framing, Place, End string
	// Pieces is the number of whole pieces before the place.
	Pieces int
	// Pause separates the packets of the answer.
	Pause time.Duration
}

// String returns the script in one line.
func (s Script) String() string {
	return fmt.Sprintf("%s/%s/%d/%s/pause-%s", s.Framing, s.Place, s.Pieces, s.End, s.Pause)
}

// Scripts returns all scripts for a body of the given number of pieces, without those that end the worker.
func Scripts(pieces int, pauses ...time.Duration) []Script {
	var out []Script
	add := func(framing, place string, pieces int, ends ...string) {
		for _, end := range ends {
			for _, pause := range pauses {
				out = append(out, Script{framing, place, end, pieces, pause})
			}
		}
	}
	for _, framing := range []string{ByLength, ByChunks, ByConnection} {
		add(framing, Whole, pieces, FIN, RST, Silence)
		add(framing, AfterHead, 0, FIN, RST, Silence)
		for n := range pieces {
			add(framing, InsidePiece, n, FIN, RST, Silence)
			if n > 0 {
				add(framing, AfterPiece, n, FIN, RST, Silence)
			}
			if framing != ByConnection {
				add(framing, FramedInsidePiece, n, FIN, RST, Silence)
			}
			if framing == ByChunks {
				add(framing, InsideChunkSize, n, FIN, RST, Silence)
				add(framing, BadChunkSize, n, Silence)
			}
			add(framing, EndlessPiece, n, Silence)
		}
		if framing != ByConnection {
			add(framing, ExtraBytes, pieces, FIN, RST, Silence)
			add(framing, ExtraAnswer, pieces, FIN, RST, Silence)
		}
	}
	add(ByChunks, InsideLastChunk, pieces, FIN, RST, Silence)
	add(ByChunks, InsideTrailer, pieces, FIN, RST, Silence)
	add(ByLength, TwoLengths, pieces, Silence)
	for _, place := range []string{BeforeHead, InsideHead} {
		add(ByLength, place, 0, FIN, RST, Silence)
	}
	add(ByLength, Garbage, 0, FIN, Silence)
	add(ByLength, EndlessHead, 0, Silence)
	return out
}

// ExitScripts returns all scripts that end the worker, for a body of the given number of pieces.
func ExitScripts(pieces int, pauses ...time.Duration) []Script {
	var out []Script
	for _, framing := range []string{ByLength, ByChunks, ByConnection} {
		for _, pause := range pauses {
			out = append(out, Script{framing, Whole, Exit, pieces, pause}, Script{framing, AfterHead, Exit, 0, pause})
			for n := range pieces {
				out = append(out, Script{framing, InsidePiece, Exit, n, pause})
				if n > 0 {
					out = append(out, Script{framing, AfterPiece, Exit, n, pause})
				}
			}
		}
	}
	return out
}

// Answer is what a whole answer would hold.
type Answer struct {
	// Head is the status line and the header lines without those of the framing.
	Head   string
	Pieces []string
	// Other is a whole answer to another request, for ExtraAnswer.
	Other string
	// Taken is called when the caller has taken maxEndlessBytes of an answer without end.
	Taken func()
	// EndlessPause separates the blocks of 4 kB of an answer without end.
	EndlessPause time.Duration
	// Exit ends the worker. Only ExitScripts call it.
	Exit func()
}

// maxEndlessBytes ends an answer without end that nobody closes. It is more than the sockets of a
// connection hold.
const maxEndlessBytes = 16 << 20

// Play writes an answer as the script says and reports whether the connection stays open for another
// request. wait is called for Silence and returns when the caller has closed the connection.
func (s Script) Play(c net.Conn, a Answer, wait func()) bool {
	for _, packet := range s.packets(a) {
		if _, err := c.Write([]byte(packet)); err != nil {
			return false
		}
		time.Sleep(s.Pause)
	}
	switch s.Place {
	case EndlessHead, EndlessPiece:
		block := strings.Repeat("x: yyyyyyyyyyyy\r\n", 256)
		for sent := 0; sent < maxEndlessBytes; sent += len(block) {
			if _, err := c.Write([]byte(block)); err != nil {
				return false
			}
			time.Sleep(a.EndlessPause)
		}
		a.Taken()
		return false
	case Whole:
		if s.End == Silence && s.Framing != ByConnection {
			return true
		}
	}
	switch s.End {
	case RST:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close that follows resets the connection
		}
	case Silence:
		wait()
	case Exit:
		a.Exit()
	}
	return false
}

// packets returns what is written until the place.
func (s Script) packets(a Answer) []string {
	switch s.Place {
	case BeforeHead:
		return nil
	case InsideHead:
		return []string{a.Head[:len(a.Head)/2]}
	case Garbage:
		return []string{"garbage\r\n\r\ngarbage"}
	case EndlessHead:
		return []string{a.Head}
	}
	out := []string{a.Head + s.framingLines(a) + "\r\n"}
	for n := range s.Pieces {
		out = append(out, s.frame(a.Pieces[n]))
	}
	return append(out, s.tail(a)...)
}

// framingLines returns the header lines that state the framing.
func (s Script) framingLines(a Answer) string {
	length := len(strings.Join(a.Pieces, ""))
	switch s.Place {
	case FramedInsidePiece:
		length = len(strings.Join(a.Pieces[:s.Pieces], "")) + len(half(a.Pieces[s.Pieces]))
	case EndlessPiece:
		length = maxEndlessBytes * 2
	case TwoLengths:
		return fmt.Sprintf("Content-Length: %d\r\nContent-Length: %d\r\n", length, length+1)
	}
	switch s.Framing {
	case ByLength:
		return fmt.Sprintf("Content-Length: %d\r\n", length)
	case ByChunks:
		return "Transfer-Encoding: chunked\r\n"
	}
	return ""
}

func half(piece string) string { return piece[:len(piece)/2+1] }

// frame returns a part of the body with its framing.
func (s Script) frame(part string) string {
	if s.Framing != ByChunks {
		return part
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
}

// tail returns what follows the whole pieces.
func (s Script) tail(a Answer) []string {
	lastChunk := ""
	if s.Framing == ByChunks {
		lastChunk = "0\r\n\r\n"
	}
	switch s.Place {
	case Whole, TwoLengths:
		return []string{lastChunk}
	case InsidePiece:
		if s.Framing == ByChunks {
			return []string{fmt.Sprintf("%x\r\n%s", len(a.Pieces[s.Pieces]), half(a.Pieces[s.Pieces]))}
		}
		return []string{half(a.Pieces[s.Pieces])}
	case FramedInsidePiece:
		return []string{s.frame(half(a.Pieces[s.Pieces])) + lastChunk}
	case InsideChunkSize:
		return []string{"1"}
	case BadChunkSize:
		return []string{"zz\r\n"}
	case InsideLastChunk:
		return []string{"0\r"}
	case InsideTrailer:
		return []string{"0\r\nX-Trailer: v"}
	case EndlessPiece:
		if s.Framing == ByChunks {
			return []string{fmt.Sprintf("%x\r\n", 2*maxEndlessBytes)}
		}
	case ExtraBytes:
		return []string{lastChunk + "extra bytes\r\n"}
	case ExtraAnswer:
		return []string{lastChunk + a.Other}
	}
	return nil
}
