package errs

import "time"

// Retry-After values. retrySoon suits an overload, which usually ends within the maximum wait in a queue, and a
// restart or a new connection between daemons, which takes about a second. retryLater is for states that last longer:
// a full ledger, no usable target, or a quarantine.
const (
	retrySoon  = 1 * time.Second
	retryLater = 5 * time.Second
)

// responses maps each error kind to its response.
var responses = map[Kind]Response{
	BadRequest:          {400, NotRun, 0, "correct the request"},
	HeaderTooLarge:      {431, NotRun, 0, "send fewer or shorter headers"},
	BodyTooLarge:        {413, NotRun, 0, "send a smaller body"},
	UnknownService:      {404, NotRun, 0, "name a service of the release in force"},
	NoRoute:             {404, NotRun, 0, "ask for a host and path that the release in force routes"},
	KeyInvalid:          {400, NotRun, 0, "get a key from /.well-known/jacinthcross/key"},
	KeyRequired:         {428, NotRun, 0, "get a key from /.well-known/jacinthcross/key"},
	KeyMismatch:         {422, NotRun, 0, "use one key for one request only"},
	KeyExpired:          {409, NotRunEarlierUnknown, 0, "check the earlier outcome, then use a new key"},
	OwnerGone:           {409, NotRunEarlierUnknown, 0, "check the earlier outcome, then use a new key"},
	OwnerUnreachable:    {503, NotRunEarlierUnknown, retrySoon, "send again with the same key"},
	StillRunning:        {503, NotRunEarlierUnknown, retrySoon, "send again with the same key"},
	LedgerFull:          {503, NotRun, retryLater, "send again later"},
	AnswerForgotten:     {502, Unknown, 0, "check the outcome, do not send again with a new key"},
	Busy:                {503, NotRun, retrySoon, "send again later"},
	Overloaded:          {503, NotRun, retrySoon, "send again later"},
	QueueTimeout:        {503, NotRun, retrySoon, "send again later"},
	TargetShed:          {503, NotRun, retrySoon, "send again later"},
	TargetDown:          {503, NotRun, retrySoon, "send again later"},
	TargetReplaced:      {503, NotRun, retrySoon, "send again; another target has taken the address"},
	TargetSlow:          {503, NotRun, retrySoon, "send again later"},
	TargetCold:          {503, NotRun, retrySoon, "send again later; the target has just started and takes few calls"},
	DataCentreEvacuated: {503, NotRun, retrySoon, "send again; the data centre of the target takes no calls at present"},
	NoTarget:            {503, NotRun, retryLater, "send again later; the service has no usable target"},
	PeerUnreachable:     {503, NotRun, retrySoon, "send again later"},
	Draining:            {503, NotRun, retrySoon, "send again through another daemon"},
	Withdrawn:           {503, NotRun, retrySoon, "send again, with a new key when the call has one; the target was withdrawn"},
	Quarantined:         {503, NotRun, retryLater, "do not resend; this request crashed targets"},
	Unconfirmed:         {503, NotRun, retrySoon, "send again; the daemon is checking its release"},
	DepthExceeded:       {508, NotRun, 0, "shorten the chain of calls"},
	DeadlineExceeded:    {504, NotRun, 0, "send again with a later deadline"},
	DeadlineInFlight:    {504, Unknown, 0, "send again with the same key"},
	TargetFailed:        {502, Unknown, 0, "send again with the same key"},
	AnswerCut:           {502, Unknown, 0, "send again with the same key"},
	AnswerTooLarge:      {502, Unknown, 0, "ask for a smaller answer"},
	AnswerForeign:       {502, Unknown, 0, "send again with the same key"},
	PeerLost:            {502, Unknown, 0, "send again with the same key"},
	CallerGone:          {499, Unknown, 0, "send again with the same key"},
	Internal:            {500, Unknown, 0, "report the event of the same time in the daemon's log"},
}

// ResponseFor returns the response to an error kind. For an unknown kind it returns the response to Internal.
func ResponseFor(kind Kind) Response {
	if r, ok := responses[kind]; ok {
		return r
	}
	return responses[Internal]
}

// Kinds returns all error kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}
