package proof

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
)

// TestSecretsStayOut guards against tokens and their hashes in the log, the metrics and
// the answers. It calls the callers' and operators' APIs and the debug variables with
// valid, invalid and missing tokens at the highest log level. The answer to a call
// without a token must name the Bearer scheme.
func TestSecretsStayOut(t *testing.T) {
	f := startFleet(t, options{domains: 1, entries: 1, extraFlags: []string{"--verbosity", "9"}})
	vm := f.entries[0]
	const wrong, caller = "wrong-token-of-a-stranger", "dev-hosts"
	var texts []string
	for _, token := range []string{"", wrong, caller, operatorToken} {
		for _, url := range []string{
			"http://" + vm.operators.String() + "/v1/status",
			"http://" + vm.callers.String() + "/v1/jobs/none",
			"http://" + vm.debug.String() + "/debug/vars",
		} {
			status, body := get(t, url, token)
			texts = append(texts, body)
			if token == "" && strings.Contains(url, "/v1/") && (status != http.StatusUnauthorized || !strings.Contains(strings.ToLower(body), "bearer")) {
				t.Errorf("%s without a token answered %d: %s", url, status, body)
			}
		}
	}
	log, err := os.ReadFile(vm.log)
	if err != nil {
		t.Fatal(err)
	}
	texts = append(texts, string(log))
	for _, token := range []string{wrong, caller, operatorToken} {
		hash := sha256.Sum256([]byte(token))
		for _, text := range texts {
			if strings.Contains(text, token) || strings.Contains(text, hex.EncodeToString(hash[:])) {
				t.Errorf("the token %s or its hash appears in: %.200s", token, text)
			}
		}
	}
}

func get(t *testing.T, url, token string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}
