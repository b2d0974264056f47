package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestBadJobBody(t *testing.T) {
	const valid = `"name":"n","kind":"batch","work":"w","tasks":1,"expected-run":"2s","not-after":"2030-01-01T00:00:00Z",` +
		`"command":[],"resources":{"millicores":1,"memory-bytes":1,"accelerators":0}`
	f := newFleet(t, 1)
	for name, tc := range map[string]struct {
		method string
		body   string
		status int
		want   []string
	}{
		"malformed":     {http.MethodPost, `{"name": `, 400, []string{`"field":"body"`, "JSON object"}},
		"unknown field": {http.MethodPost, `{` + valid + `,"tint":"red"}`, 400, []string{`"field":"tint"`, "name, key, kind"}},
		"kind":          {http.MethodPost, `{` + strings.Replace(valid, "batch", "odd", 1) + `}`, 400, []string{`"field":"kind"`, "service, batch or gang"}},
		"tasks":         {http.MethodPost, `{` + strings.Replace(valid, `"tasks":1`, `"tasks":-1`, 1) + `}`, 400, []string{`"field":"tasks"`, "1 to 5000"}},
		"missing field": {http.MethodPost, `{` + strings.Replace(valid, `"name":"n",`, "", 1) + `}`, 400, []string{`"field":"name"`}},
		"method":        {http.MethodPatch, "", 405, []string{`"field":"method"`, http.MethodPost}},
	} {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(tc.method, "/v1/jobs", strings.NewReader(tc.body))
			request.Header.Set("Authorization", "Bearer dev-hosts")
			request.Header.Set("Content-Type", "application/json")
			answer := httptest.NewRecorder()
			f.vms[0].Handler().ServeHTTP(answer, request)
			if answer.Code != tc.status {
				t.Errorf("status %d, want %d", answer.Code, tc.status)
			}
			for _, want := range append(tc.want, `"outcome":"refused"`) {
				if !strings.Contains(answer.Body.String(), want) {
					t.Errorf("problem document lacks %q: %s", want, answer.Body)
				}
			}
		})
	}
}
