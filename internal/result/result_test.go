package result

import "testing"

func TestTableListsEachCodeOnce(t *testing.T) {
	names := map[string]bool{}
	last := Code(-1)
	for _, i := range Table {
		if i.Code <= last {
			t.Errorf("%v does not rise after %v", i.Code, last)
		}
		last = i.Code
		if names[i.Name] || i.Name == "" || i.Meaning == "" || i.Status == 0 {
			t.Errorf("%v has a bad row: %+v", i.Code, i)
		}
		names[i.Name] = true
	}
}

func TestOutcomeReadsBack(t *testing.T) {
	for _, o := range []Outcome{NotRun, Unknown, Ran} {
		if got := ParseOutcome(o.String()); got != o {
			t.Errorf("ParseOutcome(%q) = %v", o.String(), got)
		}
	}
	if ParseOutcome("other") != Unknown {
		t.Error("an unreadable outcome must be unknown")
	}
}
