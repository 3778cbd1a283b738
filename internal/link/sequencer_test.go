package link

import (
	"bytes"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// goodFrames is a whole answer of three parts.
func goodFrames(id string, incarnation uint64, parts ...string) []*linkv1.Frame {
	bodies := []*linkv1.Frame{{Body: &linkv1.Frame_Head{Head: &linkv1.Head{Status: 200}}}}
	all := ""
	for _, p := range parts {
		bodies = append(bodies, &linkv1.Frame{Body: &linkv1.Frame_Data{Data: []byte(p)}})
		all += p
	}
	bodies = append(bodies, &linkv1.Frame{Body: &linkv1.Frame_Final{Final: &linkv1.Final{
		Length: uint64(len(all)), Digest: xxhash.Sum64String(all),
	}}})
	for i, f := range bodies {
		f.AttemptId, f.Incarnation, f.Seq = id, incarnation, uint64(i)+1
	}
	return bodies
}

func TestSequencerVerdicts(t *testing.T) {
	frames := goodFrames("a", 7, "one", "two")
	edit := func(i int, f func(*linkv1.Frame)) *linkv1.Frame {
		c := proto.CloneOf(frames[i])
		f(c)
		return c
	}
	beatFrame := func(last uint64) *linkv1.Frame {
		return &linkv1.Frame{AttemptId: "a", Incarnation: 7, Body: &linkv1.Frame_Heartbeat{Heartbeat: &linkv1.Heartbeat{LastSeq: last}}}
	}
	tests := []struct {
		name  string
		after int
		frame *linkv1.Frame
		want  verdict
	}{
		{"next", 1, frames[1], deliver},
		{"repeated", 2, frames[1], late},
		{"skipped", 1, frames[2], gap},
		{"other attempt", 1, edit(1, func(f *linkv1.Frame) { f.AttemptId = "b" }), crossed},
		{"other incarnation", 1, edit(1, func(f *linkv1.Frame) { f.Incarnation = 8 }), crossed},
		{"refused by a later incarnation", 0, edit(0, func(f *linkv1.Frame) {
			f.Incarnation, f.Body = 8, &linkv1.Frame_Refusal{Refusal: &linkv1.Refusal{Code: uint32(result.WrongIncarnation)}}
		}), deliver},
		{"other refusal of a later incarnation", 0, edit(0, func(f *linkv1.Frame) {
			f.Incarnation, f.Body = 8, &linkv1.Frame_Refusal{Refusal: &linkv1.Refusal{Code: uint32(result.QueueFull)}}
		}), crossed},
		{"no incarnation", 0, edit(0, func(f *linkv1.Frame) { f.Incarnation = 0 }), crossed},
		{"heartbeat", 2, beatFrame(2), beat},
		{"heartbeat after a lost frame", 2, beatFrame(3), gap},
		{"data before the head", 0, edit(1, func(f *linkv1.Frame) { f.Seq = 1 }), damaged},
		{"second head", 1, edit(0, func(f *linkv1.Frame) { f.Seq = 2 }), damaged},
		{"refusal after the head", 1, edit(1, func(f *linkv1.Frame) { f.Body = &linkv1.Frame_Refusal{Refusal: &linkv1.Refusal{}} }), damaged},
		{"final too early", 2, edit(3, func(f *linkv1.Frame) { f.Seq = 3 }), damaged},
		{"wrong length", 3, edit(3, func(f *linkv1.Frame) { f.GetFinal().Length++ }), damaged},
		{"wrong digest", 3, edit(3, func(f *linkv1.Frame) { f.GetFinal().Digest++ }), damaged},
		{"failure needs no digest", 1, edit(3, func(f *linkv1.Frame) { f.Seq = 2; f.GetFinal().Code = uint32(result.UpstreamFailed) }), deliver},
		{"frame after the end", 4, edit(1, func(f *linkv1.Frame) { f.Seq = 5 }), damaged},
		{"empty frame", 1, edit(1, func(f *linkv1.Frame) { f.Body = nil }), damaged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSequencer("a", 7)
			for _, f := range frames[:tt.after] {
				if v := s.accept(f); v != deliver {
					t.Fatalf("frame %d: verdict %d", f.GetSeq(), v)
				}
			}
			if got := s.accept(tt.frame); got != tt.want {
				t.Errorf("verdict %d, want %d", got, tt.want)
			}
		})
	}
}

// checkDelivered feeds frames and fails when what is delivered is no prefix
// of the answer, or when an end is accepted that is not its end.
func checkDelivered(t rapid.TB, frames []*linkv1.Frame, answer string) {
	s := newSequencer("a", 7)
	got := ""
	for _, f := range frames {
		before := s.next
		v := s.accept(f)
		if (v == deliver) != (s.next == before+1) || (v != deliver && s.next != before) {
			t.Fatalf("verdict %d moved the number from %d to %d", v, before, s.next)
		}
		if v == damaged {
			return
		}
		if v != deliver {
			continue
		}
		got += string(f.GetData())
		if final := f.GetFinal(); final != nil && final.GetCode() == 0 && got != answer {
			t.Fatalf("accepted the end of %q, the answer is %q", got, answer)
		}
	}
}

func TestSequencerTakesFramesInAnyDisorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.String(), 0, 5).Draw(t, "parts")
		own := goodFrames("a", 7, parts...)
		other := append(goodFrames("b", 7, "crossed"), goodFrames("a", 6, "earlier incarnation")...)
		var stream []*linkv1.Frame
		for range rapid.IntRange(0, 30).Draw(t, "frames") {
			stream = append(stream, rapid.SampledFrom(append(own, other...)).Draw(t, "frame"))
		}
		answer := ""
		for _, p := range parts {
			answer += p
		}
		checkDelivered(t, append(stream, own...), answer)
	})
}

func TestSequencerLearnsTheIncarnation(t *testing.T) {
	s := newSequencer("a", 0)
	if s.accept(goodFrames("a", 7)[0]) != deliver || s.accept(goodFrames("a", 8)[1]) != crossed {
		t.Error("the first frame must set the incarnation")
	}
}

func FuzzFrameReader(f *testing.F) {
	var whole bytes.Buffer
	for _, frame := range goodFrames("a", 7, "one", "two") {
		if _, err := protodelim.MarshalTo(&whole, frame); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:whole.Len()-3])
	f.Fuzz(func(t *testing.T, raw []byte) {
		in := bytes.NewReader(raw)
		s := newSequencer("a", 7)
		var got []byte
		for {
			frame := new(linkv1.Frame)
			if protodelim.UnmarshalFrom(in, frame) != nil {
				return
			}
			v := s.accept(frame)
			if v == damaged {
				return
			}
			if v != deliver {
				continue
			}
			own := frame.GetIncarnation() == 7 || frame.GetRefusal() != nil
			if frame.GetAttemptId() != "a" || !own || frame.GetSeq() != s.next-1 {
				t.Fatalf("delivered a frame that is not the next: %v", frame)
			}
			got = append(got, frame.GetData()...)
			end := frame.GetFinal()
			if end != nil && end.GetCode() == 0 && (end.GetLength() != uint64(len(got)) || end.GetDigest() != xxhash.Sum64(got)) {
				t.Fatalf("accepted an end that does not match %d bytes: %v", len(got), end)
			}
		}
	})
}
