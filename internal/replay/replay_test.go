package replay

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// healthyTrace is a trace of a chat request with a cascade and a service call with a retry. It
// meets strictOutcomes.
const healthyTrace = `{"at":0,"event":"arrival","request":"r1","customer":"c","class":"quick","kind":"chat"}
{"at":5,"event":"attempt","request":"r1","stage":0,"attempt":1,"version":"m-1"}
{"at":90,"event":"attempt","request":"r1","stage":0,"attempt":1,"version":"m-1","runState":"ran"}
{"at":95,"event":"attempt","request":"r1","stage":1,"attempt":1,"version":"l-1","runState":"ran"}
{"at":200,"event":"end","request":"r1","version":"l-1","firstTokenUs":100000,"totalUs":200000,"cost":0.5}
{"at":300,"event":"rating","request":"r1","rating":0.9}
{"at":400,"event":"arrival","request":"r2","customer":"c","kind":"service","service":"s","operation":"book","idempotencyKey":"k1"}
{"at":410,"event":"attempt","request":"r2","attempt":1,"runState":"not_run"}
{"at":420,"event":"attempt","request":"r2","attempt":2,"runState":"ran"}
{"at":430,"event":"end","request":"r2","totalUs":30,"cost":0.1}
`

const strictOutcomes = `{"maxLost":0,"maxDoubled":0,"maxErrors":0,"maxErrorShare":0,"maxFirstTokenP95Ms":100,"maxFirstTokenP99Ms":100,
 "maxTotalP99Ms":200,"minQuality":0.9,"maxCostPerRequest":0.3,"maxAmplification":1.4,
 "allowed":[{"customer":"c","versions":["m-1","l-1"]}],"exposure":[{"version":"m-1","afterUs":6,"maxAttempts":0}],
 "classes":[{"class":"quick","minQuality":0.9,"maxTotalP99Ms":200}]}`

// checkTrace returns the verdict on a trace.
func checkTrace(t *testing.T, lines, outcomes string) api.ReplayVerdict {
	t.Helper()
	o, err := DecodeOutcomes([]byte(outcomes))
	assert.NilError(t, err)
	v, err := Check(strings.NewReader(lines), o)
	assert.NilError(t, err)
	return v
}

// Guards against outcomes that the trace meets and that are reported as violated.
func TestHealthyTraceMeetsOutcomes(t *testing.T) {
	v := checkTrace(t, healthyTrace, strictOutcomes)
	assert.Assert(t, v.Met, "%+v", v.Broken)
	assert.Equal(t, v.Requests, 2)
	assert.Equal(t, v.Checked, 14)
}

// Guards against a violated outcome that is not reported: each change to the trace must
// violate exactly the listed outcomes.
func TestEachViolatedOutcomeIsNamed(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"lost request", `{"at":430,"event":"end","request":"r2","totalUs":30,"cost":0.1}`, "", []string{"maxLost", "maxCostPerRequest"}},
		{"run twice", `"attempt":1,"runState":"not_run"`, `"attempt":1,"runState":"unknown"`, []string{"maxDoubled"}},
		{"answered twice", `{"at":300,`, `{"at":250,"event":"end","request":"r1","version":"l-1","totalUs":200000,"firstTokenUs":9,"cost":0.5}` + "\n" + `{"at":300,`, []string{"maxDoubled"}},
		{"repeat of a key runs", `{"at":430,`, `{"at":421,"event":"arrival","request":"r3","customer":"c","service":"s","operation":"book","idempotencyKey":"k1"}
{"at":422,"event":"attempt","request":"r3","attempt":1,"runState":"ran"}
{"at":423,"event":"end","request":"r3","totalUs":30}
{"at":430,`, []string{"maxDoubled"}},
		{"failed request", `"totalUs":30,`, `"totalUs":30,"errorKind":"internal",`, []string{"maxErrors", "maxErrorShare", "maxCostPerRequest"}},
		{"late first token", `"firstTokenUs":100000`, `"firstTokenUs":100001`, []string{"maxFirstTokenP95Ms", "maxFirstTokenP99Ms"}},
		{"low rating", `"rating":0.9`, `"rating":0.4`, []string{"minQuality", "classes[quick].minQuality"}},
		{"no rating", `"event":"rating"`, `"event":"plan"`, []string{"minQuality", "classes[quick].minQuality"}},
		{"high cost", `"cost":0.1`, `"cost":0.2`, []string{"maxCostPerRequest"}},
		{"forbidden version", `"stage":1,"attempt":1,"version":"l-1"`, `"stage":1,"attempt":1,"version":"x-1"`, []string{"allowed[c]"}},
		{"attempt after the bound", `{"at":5,`, `{"at":7,`, []string{"exposure[m-1 after 6 us]"}},
		{"retries", `{"at":200,`, `{"at":99,"event":"attempt","request":"r1","stage":1,"attempt":2,"version":"l-1"}` + "\n" + `{"at":200,`, []string{"maxAmplification"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, strings.Count(healthyTrace, c.old), 1)
			v := checkTrace(t, strings.Replace(healthyTrace, c.old, c.new, 1), strictOutcomes)
			var names []string
			for _, broken := range v.Broken {
				names = append(names, broken.Outcome)
			}
			assert.DeepEqual(t, names, c.want)
			var text strings.Builder
			assert.NilError(t, WriteText(&text, v))
			assert.Assert(t, strings.Contains(text.String(), c.want[0]+": stated"))
		})
	}
}

// Guards against a verdict whose Met contradicts its list of violated outcomes.
func FuzzDecodeOutcomes(f *testing.F) {
	f.Add([]byte(strictOutcomes), []byte(healthyTrace))
	f.Fuzz(func(t *testing.T, raw, lines []byte) {
		outcomes, err := DecodeOutcomes(raw)
		if err != nil {
			return
		}
		v, err := Check(strings.NewReader(string(lines)), outcomes)
		if err == nil && v.Met != (len(v.Broken) == 0) {
			t.Fatalf("verdict has met %v with %d broken outcomes", v.Met, len(v.Broken))
		}
	})
}
