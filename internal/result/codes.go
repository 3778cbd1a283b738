package result

import "net/http"

// The numbered codes. Table gives each one's HTTP status, outcome and meaning.
const (
	OK Code = 0

	BadJSON            Code = 1001
	BadField           Code = 1002
	UnknownField       Code = 1003
	BodyTooLarge       Code = 1004
	BadContentType     Code = 1005
	MissingModel       Code = 1006
	UnknownModel       Code = 1007
	NoSuchRoute        Code = 1008
	MethodNotAllowed   Code = 1009
	UnknownService     Code = 1010
	BadIdempotencyKey  Code = 1011
	KeyReused          Code = 1012
	BadSession         Code = 1013
	HeadersTooLarge    Code = 1014
	NeedIdempotencyKey Code = 1015

	MissingKey        Code = 2001
	WrongKey          Code = 2002
	ModelNotAllowed   Code = 2003
	ServiceNotAllowed Code = 2004
	SessionForged     Code = 2005
	SessionExpired    Code = 2006
	SessionForeign    Code = 2007
	AdminKeyRefused   Code = 2008

	RateLimited      Code = 3001
	QueueFull        Code = 3002
	DeadlineTooClose Code = 3003
	NoUpstream       Code = 3004
	VersionWithdrawn Code = 3005
	VersionDraining  Code = 3006
	Stopping         Code = 3007
	NoConfiguration  Code = 3008
	UpstreamBusy     Code = 3009
	UpstreamLeaving  Code = 3010
	StaleRevision    Code = 3011
	ExposureSpent    Code = 3012
	TooManyInFlight  Code = 3013
	Quarantined      Code = 3014
	DomainDrained    Code = 3015
	RequestHeld      Code = 3016
	EngineTooSmall   Code = 3017
	NoRoom           Code = 3018

	UpstreamFailed   Code = 4001
	AnswerCut        Code = 4002
	OutcomeUnknown   Code = 4003
	DeadlineExceeded Code = 4004
	CallerGone       Code = 4005
	InProgress       Code = 4006
	RetriesSpent     Code = 4007
	BadFrame         Code = 4008
	UnknownAttempt   Code = 4009
	Tombstoned       Code = 4010
	WrongIncarnation Code = 4011
	UpstreamRefused  Code = 4012
	BufferSpent      Code = 4013
	Internal         Code = 4999

	TableUnavailable  Code = 5001
	TableConflict     Code = 5002
	TableUnknown      Code = 5003
	TableLimited      Code = 5004
	ObjectUnavailable Code = 5005
	ObjectMissing     Code = 5006
	ObjectDamaged     Code = 5007
	HostsUnavailable  Code = 5008
	RatingsAway       Code = 5009
	WeightsLimited    Code = 5010
	CircuitOpen       Code = 5011
	HistoryGone       Code = 5012

	CheckFailed     Code = 6001
	PublishConflict Code = 6002
	RevisionBehind  Code = 6003
	NotInForce      Code = 6004
	ObjectNotFound  Code = 6005
	DeltaBroken     Code = 6006
	ReadFailed      Code = 6007
	HistoryReplaced Code = 6008
	LearnedDamaged  Code = 6009
	LearnedFormat   Code = 6010
	LearnedStale    Code = 6011
	LearnedForeign  Code = 6012
	LineUnproven    Code = 6013

	LeaseHeld    Code = 7001
	LeaseLost    Code = 7002
	StaleFence   Code = 7003
	OrderRefused Code = 7004
	BadStage     Code = 7005
	FenceUnknown Code = 7006

	BadSettings   Code = 8001
	BadUsage      Code = 8002
	BadTLS        Code = 8003
	AdminAway     Code = 8004
	PromiseBroken Code = 8005
)

// Table lists every code once, in order.
var Table = []Info{
	{OK, "ok", http.StatusOK, Ran, "The request was answered."},

	{BadJSON, "bad_json", http.StatusBadRequest, NotRun, "The body is not valid JSON."},
	{BadField, "bad_field", http.StatusBadRequest, NotRun, "A field has a value that is not allowed."},
	{UnknownField, "unknown_field", http.StatusBadRequest, NotRun, "A field is not known and would change the answer."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, NotRun, "The body is larger than the limit."},
	{BadContentType, "bad_content_type", http.StatusUnsupportedMediaType, NotRun, "The content type is not application/json."},
	{MissingModel, "missing_model", http.StatusBadRequest, NotRun, "The model field is missing."},
	{UnknownModel, "unknown_model", http.StatusNotFound, NotRun, "No model, version or cascade has this name."},
	{NoSuchRoute, "no_such_route", http.StatusNotFound, NotRun, "The path is not served."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, NotRun, "The path does not take this method."},
	{UnknownService, "unknown_service", http.StatusNotFound, NotRun, "No plain service has this name."},
	{BadIdempotencyKey, "bad_idempotency_key", http.StatusBadRequest, NotRun, "The idempotency key is empty, too long or has bad characters."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, NotRun, "The idempotency key was used before with another body."},
	{BadSession, "bad_session", http.StatusBadRequest, NotRun, "The session header cannot be read."},
	{HeadersTooLarge, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, "The headers are larger than the limit."},
	{NeedIdempotencyKey, "need_idempotency_key", http.StatusBadRequest, NotRun, "This call may not be repeated and needs an Idempotency-Key."},

	{MissingKey, "missing_key", http.StatusUnauthorized, NotRun, "The Authorization header is missing."},
	{WrongKey, "wrong_key", http.StatusUnauthorized, NotRun, "The key belongs to no organisation."},
	{ModelNotAllowed, "model_not_allowed", http.StatusForbidden, NotRun, "The organisation may not use this model or version."},
	{ServiceNotAllowed, "service_not_allowed", http.StatusForbidden, NotRun, "The organisation may not use this service."},
	{SessionForged, "session_forged", http.StatusForbidden, NotRun, "The session token was not signed by a known key."},
	{SessionExpired, "session_expired", http.StatusForbidden, NotRun, "The session token has expired."},
	{SessionForeign, "session_foreign", http.StatusForbidden, NotRun, "The session token belongs to another organisation."},
	{AdminKeyRefused, "admin_key_refused", http.StatusUnauthorized, NotRun, "The admin key is missing or wrong."},

	{RateLimited, "rate_limited", http.StatusTooManyRequests, NotRun, "The organisation is over its rate or token limit."},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, NotRun, "The queue is full."},
	{DeadlineTooClose, "deadline_too_close", http.StatusServiceUnavailable, NotRun, "The deadline cannot be met, so the request was not started."},
	{NoUpstream, "no_upstream", http.StatusServiceUnavailable, NotRun, "No upstream can take the request now."},
	{VersionWithdrawn, "version_withdrawn", http.StatusGone, NotRun, "The version is withdrawn."},
	{VersionDraining, "version_draining", http.StatusConflict, NotRun, "The version is draining and takes no new session."},
	{Stopping, "stopping", http.StatusServiceUnavailable, NotRun, "The process is stopping."},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, NotRun, "The process has no configuration yet."},
	{UpstreamBusy, "upstream_busy", http.StatusServiceUnavailable, NotRun, "The upstream has no free slot."},
	{UpstreamLeaving, "upstream_leaving", http.StatusServiceUnavailable, NotRun, "The upstream is leaving."},
	{StaleRevision, "stale_revision", http.StatusServiceUnavailable, NotRun, "The sender's configuration is older than the receiver's and disagrees."},
	{ExposureSpent, "exposure_spent", http.StatusServiceUnavailable, NotRun, "The version's budget of unrated answers is spent."},
	{TooManyInFlight, "too_many_in_flight", http.StatusTooManyRequests, NotRun, "The organisation has too many requests in flight."},
	{Quarantined, "quarantined", http.StatusServiceUnavailable, NotRun, "The version is quarantined on this host."},
	{DomainDrained, "domain_drained", http.StatusServiceUnavailable, NotRun, "Every upstream of the service is in a failure domain that the operator has drained."},
	{RequestHeld, "request_held", http.StatusServiceUnavailable, NotRun, "Requests like this one have crashed upstreams, so it is sent to none."},
	{EngineTooSmall, "engine_too_small", http.StatusServiceUnavailable, NotRun, "Prompt and answer exceed the memory of every engine of the service; smaller requests are served."},
	{NoRoom, "no_room", http.StatusServiceUnavailable, NotRun, "The process holds too much for others to take the request."},

	{UpstreamFailed, "upstream_failed", http.StatusBadGateway, Ran, "The upstream failed while it ran the request."},
	{AnswerCut, "answer_cut", http.StatusBadGateway, Ran, "The answer could not be completed."},
	{OutcomeUnknown, "outcome_unknown", http.StatusGatewayTimeout, Unknown, "It cannot be known whether the request ran."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, Unknown, "The deadline passed before the answer was complete."},
	{CallerGone, "caller_gone", 499, Unknown, "The caller went away."},
	{InProgress, "in_progress", http.StatusConflict, Unknown, "The first call with this idempotency key is still running."},
	{RetriesSpent, "retries_spent", http.StatusServiceUnavailable, NotRun, "Every attempt was refused before it ran."},
	{BadFrame, "bad_frame", http.StatusBadGateway, Unknown, "A frame between entry and agent was damaged."},
	{UnknownAttempt, "unknown_attempt", http.StatusNotFound, Unknown, "The agent does not know the attempt."},
	{Tombstoned, "tombstoned", http.StatusConflict, NotRun, "The attempt was cancelled before it was dispatched."},
	{WrongIncarnation, "wrong_incarnation", http.StatusConflict, Unknown, "The agent has restarted since the attempt was sent."},
	{UpstreamRefused, "upstream_refused", http.StatusBadGateway, NotRun, "No connection to the upstream could be made."},
	{BufferSpent, "buffer_spent", http.StatusBadGateway, Ran, "The agent no longer holds the part of the answer that was asked for."},
	{Internal, "internal", http.StatusInternalServerError, Unknown, "An unexpected failure inside the product."},

	{TableUnavailable, "table_unavailable", http.StatusServiceUnavailable, NotRun, "The table service does not answer."},
	{TableConflict, "table_conflict", http.StatusConflict, NotRun, "A condition of the write did not hold."},
	{TableUnknown, "table_unknown", http.StatusServiceUnavailable, Unknown, "The reply of the table service was lost."},
	{TableLimited, "table_limited", http.StatusTooManyRequests, NotRun, "The table service is over its rate."},
	{ObjectUnavailable, "object_unavailable", http.StatusServiceUnavailable, NotRun, "The object store does not answer."},
	{ObjectMissing, "object_missing", http.StatusNotFound, NotRun, "The object store has no such object."},
	{ObjectDamaged, "object_damaged", http.StatusBadGateway, NotRun, "An object does not match its digest."},
	{HostsUnavailable, "hosts_unavailable", http.StatusServiceUnavailable, NotRun, "The host list does not answer."},
	{RatingsAway, "ratings_away", http.StatusServiceUnavailable, NotRun, "The rating service does not answer."},
	{WeightsLimited, "weights_limited", http.StatusTooManyRequests, NotRun, "The weight store is over its rate."},
	{CircuitOpen, "circuit_open", http.StatusServiceUnavailable, NotRun, "Calls to a failing service are held back for a moment."},
	{HistoryGone, "history_gone", http.StatusGone, NotRun, "The store has dropped the history that a feed asked for."},

	{CheckFailed, "check_failed", http.StatusUnprocessableEntity, NotRun, "The configuration has faults."},
	{PublishConflict, "publish_conflict", http.StatusConflict, NotRun, "Another publication changed the same objects first."},
	{RevisionBehind, "revision_behind", http.StatusConflict, NotRun, "The revision is lower than the one in force."},
	{NotInForce, "not_in_force", http.StatusGatewayTimeout, Ran, "The revision is not in force everywhere yet."},
	{ObjectNotFound, "object_not_found", http.StatusNotFound, NotRun, "No configuration object has this kind and name."},
	{DeltaBroken, "delta_broken", http.StatusConflict, NotRun, "A revision's delta does not lead to the digest it names."},
	{ReadFailed, "read_failed", http.StatusBadRequest, NotRun, "A file or folder cannot be read."},
	{HistoryReplaced, "history_replaced", http.StatusConflict, NotRun, "The store holds another history than the one in force."},
	{LearnedDamaged, "learned_damaged", http.StatusBadGateway, NotRun, "A copy of what an entry has learned is damaged and is dropped."},
	{LearnedFormat, "learned_format", http.StatusConflict, NotRun, "A copy of what an entry has learned has another format and is dropped."},
	{LearnedStale, "learned_stale", http.StatusConflict, NotRun, "A copy of what an entry has learned is too old and is dropped."},
	{LearnedForeign, "learned_foreign", http.StatusConflict, NotRun, "A copy of what an entry has learned names versions or classes that the configuration does not have; these are dropped."},
	{LineUnproven, "line_unproven", http.StatusConflict, NotRun, "It cannot be shown that a newer configuration leads on from the one in force."},

	{LeaseHeld, "lease_held", http.StatusConflict, NotRun, "Another process holds the lease."},
	{LeaseLost, "lease_lost", http.StatusConflict, NotRun, "The lease is no longer held."},
	{StaleFence, "stale_fence", http.StatusConflict, NotRun, "The order carries an old fencing number."},
	{OrderRefused, "order_refused", http.StatusConflict, NotRun, "The engine refused the order."},
	{BadStage, "bad_stage", http.StatusConflict, NotRun, "The roll-out cannot go from its stage to the one asked for."},
	{FenceUnknown, "fence_unknown", http.StatusServiceUnavailable, NotRun, "The highest fencing number is not known yet, so orders wait."},

	{BadSettings, "bad_settings", http.StatusBadRequest, NotRun, "The settings have faults."},
	{BadUsage, "bad_usage", http.StatusBadRequest, NotRun, "The command line cannot be understood."},
	{BadTLS, "bad_tls", http.StatusBadRequest, NotRun, "A certificate or key cannot be used."},
	{AdminAway, "admin_away", http.StatusServiceUnavailable, NotRun, "The daemon's admin listener does not answer."},
	{PromiseBroken, "promise_broken", http.StatusInternalServerError, Unknown, "A soak saw a broken promise."},
}
