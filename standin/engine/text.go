package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is a chat message. Content is a JSON string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// TextMessage returns a message whose content is a string.
func TextMessage(role, content string) Message {
	raw, _ := json.Marshal(content)
	return Message{Role: role, Content: raw}
}

// text returns the content as text; a list of parts is returned as compact JSON.
func (m Message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var v any
	_ = json.Unmarshal(m.Content, &v)
	out, _ := json.Marshal(v)
	return string(out)
}

// Sizes of answers and prompts, in tokens unless the name says otherwise. Each answer token
// has bytesPerToken bytes, so an answer has the same number of tokens when it is generated
// and when it is sent back as history.
const (
	bytesPerToken      = 4
	messageOverhead    = 4
	digestTokens       = 5
	minAnswerTokens    = digestTokens + 1
	defaultBaseTokens  = 16
	defaultTokenSpread = 48
	maxAnswerTokens    = 16384
	lastToken          = "end."
)

// LengthDirective is the text by which the last message asks for an answer of a given
// number of tokens, for example "answer_tokens=120".
const LengthDirective = "answer_tokens="

var lengthPattern = regexp.MustCompile(LengthDirective + `(\d{1,5})`)

// chainLink is the digest of a conversation up to and including one message.
type chainLink struct {
	Sum    string `json:"sum"`
	Tokens int    `json:"tokens"` // of the whole prefix
}

// chain returns one link per message.
func chain(messages []Message) []chainLink {
	out := make([]chainLink, 0, len(messages)+1)
	for _, m := range messages {
		out = append(out, nextLink(out, m))
	}
	return out
}

// nextLink returns the link of message m when it follows the conversation of links.
func nextLink(links []chainLink, m Message) chainLink {
	var last chainLink
	if len(links) > 0 {
		last = links[len(links)-1]
	}
	text := m.text()
	h := sha256.Sum256([]byte(last.Sum + "\x00" + m.Role + "\x00" + text))
	return chainLink{Sum: hex.EncodeToString(h[:]), Tokens: last.Tokens + textTokens(text) + messageOverhead}
}

func textTokens(s string) int { return (len(s) + bytesPerToken - 1) / bytesPerToken }

// Answer returns the complete answer of an engine to messages. It depends only on messages,
// begins with a digest of them and ends with "end.".
func Answer(messages []Message) string {
	return strings.Join(answerTokens(messages, chain(messages)), "")
}

// answerTokens returns the answer as tokens. links is the chain of messages.
func answerTokens(messages []Message, links []chainLink) []string {
	if len(messages) == 0 {
		return []string{lastToken}
	}
	sum := links[len(links)-1].Sum
	n := answerLength(messages[len(messages)-1].text(), sum)
	out := make([]string, n)
	for i := range n {
		out[i] = token(sum, i)
	}
	out[n-1] = lastToken
	return out
}

func answerLength(last, sum string) int {
	n := defaultBaseTokens + int(xxhash.Sum64String(sum)%defaultTokenSpread)
	if m := lengthPattern.FindStringSubmatch(last); m != nil {
		n, _ = strconv.Atoi(m[1])
	}
	return min(max(n, minAnswerTokens), maxAnswerTokens)
}

// token returns the token at index i of the answer to a conversation with digest sum.
func token(sum string, i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz012345"
	if i < digestTokens {
		return sum[bytesPerToken*i : bytesPerToken*(i+1)]
	}
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(i))
	h := xxhash.Sum64String(sum + string(seed[:]))
	b := []byte{' ', letters[h&31], letters[h>>5&31], letters[h>>10&31]}
	return string(b)
}

// remaining returns the tokens that follow partial in the answer made of tokens, and
// false if partial is not a prefix of it.
func remaining(tokens []string, partial string) ([]string, bool) {
	whole := strings.Join(tokens, "")
	if !strings.HasPrefix(whole, partial) {
		return nil, false
	}
	rest := whole[len(partial):]
	var out []string
	for len(rest) > 0 {
		n := min(bytesPerToken, len(rest))
		out = append(out, rest[:n])
		rest = rest[n:]
	}
	return out, true
}
