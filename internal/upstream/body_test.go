package upstream

import (
	"io"
	"testing"
)

func TestForgottenBodyIsReadToItsEndButNotAgain(t *testing.T) {
	b := newBody([]byte("booking"))
	first, err := b.open()
	if err != nil {
		t.Fatal(err)
	}
	b.forget()
	if got, err := io.ReadAll(first); err != nil || string(got) != "booking" {
		t.Errorf("the open reader gave %q, %v", got, err)
	}
	if _, err := b.open(); err == nil {
		t.Error("a forgotten body was opened again")
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("a closed reader was read")
	}
}
