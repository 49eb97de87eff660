/**
 * All log events of a gateway daemon with their fields. The compiler checks every log call against this
 * table, and the operators' reference page is generated from it. Times are in milliseconds.
 */

export type LogEvent = {
	readonly meaning: string;
	readonly fields: readonly string[];
};

/* eslint-disable @typescript-eslint/naming-convention -- event names as they appear in the logs */
export const logEvents = {
	started: {meaning: 'The process listens and its settings are loaded', fields: ['incarnation', 'listen', 'isFirstStart']},
	store_source_changed: {
		meaning: 'From now on this daemon reads the store itself, or gets its contents from other daemons',
		fields: ['isServed', 'rank', 'configurationAgeMs', 'directoryAgeMs', 'sources'],
	},
	members_read: {meaning: 'The list of daemons was read from the store', fields: ['members', 'known']},
	draining: {meaning: 'SIGTERM was received: calls in flight are completed, and readiness checks fail', fields: ['activeCalls', 'owedAnswers', 'graceMs']},
	stopped: {meaning: 'The process ends; calls still in flight are aborted', fields: ['activeCalls', 'owedAnswers', 'tookMs']},
	reload_asked: {meaning: 'SIGHUP was received', fields: ['path']},
	settings_taken: {meaning: 'Changed settings were applied', fields: ['bounds', 'store']},
	settings_refused: {meaning: 'The settings file has errors; the previous settings stay in force', fields: ['mistakes']},
	figures: {
		meaning: 'Summary of the metrics, every ten seconds',
		fields: ['storeCalls', 'daemons', 'activeCalls', 'owedAnswers', 'clientConnections', 'clientBytes', 'backends', 'configuration', 'configurationAgeMs', 'rssMb'],
	},
	lines_left_out: {
		meaning: 'Number of lines of an event that the rate limit left out in a second, and number of all lines dropped so far because of a slow reader',
		fields: ['of', 'count', 'dropped'],
	},
	metrics_unavailable: {meaning: 'The metrics listener failed; calls are served without metrics', fields: ['address', 'reason']},
	configuration_taken: {meaning: 'A newer configuration was applied', fields: ['version', 'before', 'source', 'routes', 'accounts']},
	entry_refused: {
		meaning: 'A record of the store cannot be used, for want of a meaning of the named field (`bytes`: no JSON in UTF-8); the records beside it apply, and so does the last usable one of its key. Logged once for each key and field',
		fields: ['topic', 'key', 'field', 'offset'],
	},
	configuration_unreadable: {meaning: 'A configuration record could not be decoded; the previous configuration stays in force', fields: ['offset', 'bytes', 'field']},
	rollout_requested: {
		meaning: 'A record of an operator asks for the traffic of a service to be moved to backend servers of another software version; `before` and `beforeTo`: the rollout that it replaces',
		fields: ['service', 'to', 'offset', 'durationMs', 'before', 'beforeTo'],
	},
	rollout_unreadable: {meaning: 'A request for a rollout could not be decoded; traffic goes on as before', fields: ['key', 'offset', 'bytes', 'field']},
	rollout_stage: {
		meaning: 'A rollout has a new stage, or the new version gets another share of the first sends; `source`: the operator\'s record, the lease record, the plan of this daemon, or a peer',
		fields: ['service', 'to', 'offset', 'stage', 'share', 'revision', 'reason', 'source', 'before'],
	},
	rollout_status_written: {
		meaning: 'This daemon told operators and the platform what has become of a rollout, `sinceStageMs` after it was decided and `leftMs` before it is due',
		fields: ['service', 'to', 'offset', 'outcome', 'statusOffset', 'sinceStageMs', 'leftMs'],
	},
	store_lost: {meaning: 'The store stopped responding for a topic', fields: ['topic', 'reason']},
	store_regained: {meaning: 'The store responds again', fields: ['topic', 'wasAwayForAll', 'graceMs']},
	backend_joined: {meaning: 'A backend server was added to the directory', fields: ['backend', 'address', 'service', 'zone', 'reclaimable', 'leavesInMs', 'offset', 'startedAt', 'sequence', 'version', 'source', 'writtenWithinMs']},
	backend_restarted: {meaning: 'A backend server restarted under the same id; its previous state was discarded', fields: ['backend', 'address', 'service', 'zone', 'reclaimable', 'leavesInMs', 'offset', 'startedAt', 'sequence', 'version', 'source', 'writtenWithinMs']},
	backend_leaving: {meaning: 'A backend server is leaving and gets no new calls', fields: ['backend', 'address', 'service', 'zone', 'reclaimable', 'leavesInMs', 'offset', 'startedAt', 'sequence', 'version', 'source', 'writtenWithinMs']},
	backend_gone: {meaning: 'A backend server was removed from the directory', fields: ['backend', 'address', 'service', 'zone', 'reclaimable', 'leavesInMs', 'offset', 'startedAt', 'sequence', 'version', 'source', 'writtenWithinMs']},
	backend_missing: {
		meaning: 'The store no longer lists a backend server, but its entry may only have expired during an outage; it still gets calls for this time',
		fields: ['backend', 'offset', 'source', 'keptMs'],
	},
	backend_unreachable: {meaning: 'Connections to a backend server fail, it stopped responding, or its address belongs to another one; it gets no calls until the pause has passed', fields: ['backend', 'address', 'reason', 'failures', 'pauseMs']},
	connection_broken: {
		meaning: 'The connection of a call broke, `answeredMs` after the head of its answer if there was one. `finding`: what that says about the backend server',
		fields: ['request', 'backend', 'finding', 'answeredMs', 'parts'],
	},
	backend_unsound: {
		meaning: 'An answer of a backend server was given up, as a sound one would not have been: `here` says that others were clearly quicker meanwhile, `anywhere` that no network causes it, so that peers are told. `failures`: such answers in a row. From the second one on it gets no calls for a while',
		fields: ['backend', 'service', 'request', 'excess', 'evidence', 'failures', 'pauseMs'],
	},
	backend_path_lost: {meaning: 'A backend server is not reached from here, but another daemon reaches it; no call is suspected', fields: ['backend', 'address']},
	paths_lost: {
		meaning: 'No new connection to any backend server can be opened from here; calls go through other daemons. `failed`: backend servers tried, `dataMs`: time since data of any was received',
		fields: ['backends', 'failed', 'firstFailedMs', 'dataMs'],
	},
	paths_regained: {meaning: 'Connections to backend servers can be opened again; calls are sent directly', fields: ['lostMs']},
	backend_limit: {
		meaning: 'A backend server stated for the first time, changed or ended the calls per second that it takes from all daemons together; without `perSecond` it has ended',
		fields: ['backend', 'service', 'perSecond', 'before', 'request', 'status', 'peer', 'sentMs', 'share'],
	},
	backend_limits_reached: {meaning: 'A call was refused because the limits of all backend servers of its service leave no room', fields: ['request', 'service', 'rank', 'backends', 'waitMs', 'retryAfterS']},
	backend_limit_unreadable: {meaning: 'An answer stated a limit that is not a decimal number; the known limit stays in force', fields: ['backend', 'request', 'text']},
	backend_brittle: {
		meaning: 'A backend server stated for the first time, changed or ended how many calls it can turn away in a second before it falls over; without `rejections` it has ended',
		fields: ['backend', 'service', 'rejections', 'before', 'request', 'peer', 'places'],
	},
	backend_brittle_unreadable: {meaning: 'An answer stated a number of rejections that is not a whole number; what is known stays in force', fields: ['backend', 'request', 'text']},
	backend_rejection: {meaning: 'A brittle backend server turned a call away for want of room; no daemon sends it calls for a second', fields: ['backend', 'request', 'own', 'others', 'places']},
	directory_from_peer: {meaning: 'A newer directory was received from another daemon', fields: ['next', 'before', 'ageMs', 'address']},
	peer_joined: {meaning: 'The first report of another daemon, or of the sum of a zone, was received', fields: ['peer', 'address', 'incarnation', 'daemons']},
	peer_forgotten: {meaning: 'A daemon was removed because it sent no report for too long', fields: ['peer', 'silentMs']},
	peer_message_refused: {
		meaning: 'A message of another daemon, or the named field of it, cannot be used; the rest applies where it can stand alone. Logged once for each sender and field',
		fields: ['method', 'address', 'field'],
	},
	gossip_unreadable: {meaning: 'A datagram could not be decoded as a gossip report', fields: ['error']},
	peer_socket_failed: {meaning: 'The gossip socket failed', fields: ['error']},
	peer_request_failed: {meaning: 'A request of another daemon could not be answered', fields: ['error']},
	relay_passed_over: {meaning: 'A relay stopped responding; reports are sent to the next one instead', fields: ['address', 'silentMs']},
	lease_taken: {
		meaning: 'This daemon acquired the lease and sends requests to the cloud API. `base`: what the record is based on, the last one that could be read, none as there was none, or one that cannot be read, at `baseOffset`; `reported`: the last window that may not be reported any more; `trueTime`: what this daemon takes for the time, and from how many `peers`',
		fields: ['fence', 'before', 'base', 'baseOffset', 'reported', 'trueTime', 'peers'],
	},
	lease_lost: {meaning: 'This daemon lost the lease and sends no more requests to the cloud API', fields: ['reason', 'fence', 'offset', 'trueTime', 'peers']},
	usage_left_out: {
		meaning: 'The lease was taken on a record that does not tell which windows have been reported; no usage is reported up to window `last`, as none may be reported twice',
		fields: ['last', 'offset'],
	},
	spending_read: {meaning: 'The spending of client accounts before the start was read, or is not known as the store is unavailable', fields: ['isKnown', 'inherited']},
	usage_report: {meaning: 'The usage of a window was reported', fields: ['window', 'counts', 'fence', 'outcome', 'offset']},
	backend_order: {meaning: 'Backend servers were ordered', fields: ['service', 'availabilityZone', 'isReclaimable', 'count', 'fence', 'outcome']},
	duty_failed: {meaning: 'Unexpected error in the leader task', fields: ['error']},
	call_placed: {
		meaning: 'A call was sent to a backend server, with the prediction for it and the result',
		fields: ['request', 'service', 'backend', 'version', 'predictedMs', 'cachedTokens', 'own', 'others', 'tokensPerMs', 'offer', 'result', 'reason', 'chosenMs', 'directoryOffset', 'directoryAgeMs', 'directorySource', 'leavingMs', 'isMissing', 'limit'],
	},
	run_given_up: {
		meaning: 'The answer of a backend server was given up here after its beginning, so that the call goes on elsewhere or ends. `pauseMs`: for how long no event had come; `canGoOn`: whether another backend server may continue it',
		fields: ['request', 'reason', 'backend', 'pauseMs', 'canGoOn', 'service'],
	},
	successor_sought: {
		meaning: 'The run of a stream sent nothing for long, and was kept while others were asked to take the rest. `outcome`: `replaced` by `successor`, `went_on` by itself, or `run_ended`, as has the call or the run; `asked`: sends to others; `pauseMs`: time from the last event before the search to its end',
		fields: ['request', 'service', 'reason', 'backend', 'outcome', 'successor', 'asked', 'pauseMs'],
	},
	call_ended: {
		meaning: 'Outcome of a call. `leftIn`: how far it had come when its caller left, `afterLeaveMs`: for how long it went on after that was seen, `stoodMs`: for how long the close may have stood unread, as the process did not run',
		fields: ['request', 'account', 'route', 'service', 'kind', 'outcome', 'detail', 'status', 'tookMs', 'firstMs', 'longestPauseMs', 'configuration', 'configurationAgeMs', 'isFromPeer', 'leftIn', 'afterLeaveMs', 'stoodMs'],
	},
	loop_stalled: {meaning: 'The process handled nothing for this long, as it was busy, suspended or without processor time; what it reads next may have stood as long', fields: ['stalledMs', 'activeCalls']},
	call_sent_to_peer: {
		meaning: 'A call was offered to another daemon, as no backend server of its service is reached from here',
		fields: ['request', 'service', 'peer', 'zone', 'offer', 'result', 'reason', 'tookMs', 'remainingMs', 'isCutOff'],
	},
	peer_call_taken: {meaning: 'A call of another daemon is served here', fields: ['request', 'service', 'peer', 'rank', 'remainingMs', 'serving']},
	peer_call_refused: {meaning: 'A call of another daemon was refused before it was sent to a backend server', fields: ['request', 'result', 'detail', 'serving']},
	repeat_denied: {
		meaning: 'A call was not sent to a further backend server, as the limit of repeats leaves none: `repeats` of `allowed` are counted here in the window, of which `underWay` may still arrive. `calls`: received in the window; `daemons`: that share the slack; `inheritsMs`: time left in which a predecessor of this daemon may have used its part',
		fields: ['request', 'service', 'repeats', 'underWay', 'allowed', 'calls', 'daemons', 'inheritsMs'],
	},
	call_hedged: {
		meaning: 'A plain call that would miss its target at its backend server is sent to a second one as well. `currentMs`, `alternativeMs`: predicted for a call that is sent to either now',
		fields: ['request', 'service', 'from', 'to', 'waitedMs', 'leftMs', 'currentMs', 'alternativeMs'],
	},
	call_moved: {
		meaning: 'A run was stopped at a leaving backend server; its KV cache was copied to another one, or it continues on the same one',
		fields: ['request', 'from', 'to', 'fromVersion', 'toVersion', 'outcome', 'reason', 'leavesInMs', 'tookMs'],
	},
	unframed_end: {
		meaning: 'The answer of a backend server to a stream ended with its connection, the only mark of its end. `isWhole`: whether that counts as the end of the run; `order`: what came of the order to stop the run, if there was one',
		fields: ['request', 'service', 'backend', 'isWhole', 'order', 'lastEvent'],
	},
	stopped_run: {
		meaning: 'What became of a run that was stopped to be moved: `continued` at `backend` behind the event `lastEvent`, or `not_continued` and why. `order`: what the backend server answered to the order to stop it; `framing`: how the end of its answer is marked',
		fields: ['request', 'service', 'outcome', 'reason', 'from', 'order', 'framing', 'backend', 'lastEvent'],
	},
	stream_began: {
		meaning: 'The first event of a stream that its caller may take up was received, from a backend server of this software version; `keepers`: daemons that were told. Without `version` it is not known, for the `reason`, and the stream cannot go on elsewhere',
		fields: ['request', 'service', 'backend', 'version', 'peer', 'keepers', 'reason', 'directoryAgeMs'],
	},
	stream_taken_up: {
		meaning: 'A caller takes a stream up, which began with the attempt `resumes`; `source`: the daemon that knew its version',
		fields: ['request', 'resumes', 'service', 'version', 'source', 'ageMs', 'tookMs'],
	},
	stream_not_taken_up: {
		meaning: 'A stream that its caller takes up was refused: the version that began it is not known here or to the daemons asked, the id is ambiguous, or none of its backend servers serves. `unknown`: what is not known; `daemons` were asked, those in `silent` gave no answer',
		fields: ['request', 'resumes', 'service', 'reason', 'unknown', 'version', 'versions', 'asked', 'answered', 'daemons', 'silent', 'directoryAgeMs', 'directorySource', 'tookMs'],
	},
	stream_not_continued: {
		meaning: 'A stream whose events were sent on broke off and did not go on elsewhere, as the version that sent them is not known (`version`: nor whether its backend server still is the one of the directory), or the last event has no id that can be sent (`last_event`)',
		fields: ['request', 'service', 'unknown', 'backend', 'peer', 'directoryAgeMs', 'directorySource'],
	},
	run_not_moved: {
		meaning: 'A run was not moved from a leaving backend server, as it is not known which process runs at one of the two addresses; `unknown`: which',
		fields: ['request', 'service', 'from', 'to', 'unknown', 'finding', 'directoryAgeMs', 'directorySource'],
	},
	origin_not_kept: {meaning: 'The version that began a stream was not recorded, as this daemon remembers as many streams as it can', fields: ['request', 'streams']},
	service_versions: {
		meaning: 'The software versions of the backend servers of a service have changed; `versions`: how many are ready and leaving of each',
		fields: ['service', 'versions'],
	},
	call_suspected: {meaning: 'A backend server ended while the answer of the call was at its beginning; the parts of its prompt, and the request, are suspected', fields: ['request', 'backend', 'parts', 'hasBegun', 'digest']},
	crash_verdict: {
		meaning: 'Requests with these parts, or this request, are kept from backend servers from now on, as so many have ended under them; `isOneAccount`: those of one client account only',
		fields: ['on', 'ends', 'score', 'isOneAccount', 'backends'],
	},
	crash_verdict_lifted: {meaning: 'The verdict has ended: such requests were answered since, the deaths had another cause, or an operator has cleared them', fields: ['on']},
	crash_trial: {meaning: 'A single call was let through in spite of a verdict, to learn whether it still holds', fields: ['request', 'on', 'ends']},
	refused_for_crashes: {meaning: 'A call was refused, or not sent on, because of a verdict', fields: ['request', 'on', 'ends', 'score', 'account']},
	uncaught_error: {
		meaning: 'An error that nothing handled, with its stack; the daemon goes on. `origin`: whether it was thrown (`uncaughtException`) or rejected a promise (`unhandledRejection`). Please report it',
		fields: ['origin', 'error', 'activeCalls', 'owedAnswers'],
	},
	call_crashed: {meaning: 'Unexpected error while serving a call', fields: ['request', 'error']},
	limit_reached: {
		meaning: 'A call, or a further run of it, was refused because its client account reached its limit: `room` is the most that a keeper could grant, a `share` of what is left of `usable` after `known`',
		fields: ['request', 'account', 'cost', 'room', 'known', 'share', 'usable'],
	},
	quota_granted: {meaning: 'The cost of a run was granted by this keeper of limits', fields: ['request', 'account', 'cost', 'keeper']},
	quota_unknown: {meaning: 'A call was refused because no daemon that keeps the limit of its client account could be asked', fields: ['request', 'account', 'cost', 'isKeeper', 'isSettled']},
	quota_keeper: {meaning: 'This daemon keeps limits of client accounts from now on, with this weight, or with weight 0 no longer', fields: ['weight', 'leads', 'others']},
	quota_keeper_silent: {meaning: 'A daemon that keeps limits did not answer; it is not asked for a while', fields: ['keeper', 'address', 'account', 'error']},
	quotas_settled: {meaning: 'This daemon knows what was spent before and grants from now on; `hasRecord`: from the store, as no other daemon knew it', fields: ['keepers', 'tookMs', 'hasRecord']},
	quotas_unsettled: {meaning: 'This daemon did not run for a while and must hear the other keepers before it grants', fields: ['pausedMs']},
	account_near_limit: {
		meaning: 'What is known to be spent of a client account\'s limit on all daemons, once a second from 0.8 of it. `unconfirmed`: granted here and not known to all others; `reserved`: left to keepers that are not heard; `origins`: other incarnations that are counted',
		fields: ['account', 'known', 'usable', 'own', 'unconfirmed', 'reserved', 'share', 'heard', 'origins'],
	},
	spending_fell: {
		meaning: 'What is known to be spent of a client account\'s limit fell otherwise than by age: spending was forgotten',
		fields: ['account', 'fell', 'known', 'usable', 'own', 'unconfirmed', 'reserved', 'share', 'heard', 'origins'],
	},
	client_given_up: {
		meaning: 'A connection was ended as clients made the daemon hold too much. `limit`: whether memory or the connections of the listener were short; `kind`: what became of it, `body_refused` (503, not run), `head_refused` (408), `answers_unread` (it did not take its answers), `idle_closed`; `bytes`: what it was charged for; `idleMs`: for how long it had not done its part',
		fields: ['listener', 'limit', 'kind', 'bytes', 'idleMs'],
	},
	client_refused: {meaning: 'A new connection was answered with 503 and closed: all connections of its listener are in use', fields: ['listener', 'connections']},
	request_unreadable: {meaning: 'Data on a connection could not be parsed as a request; `owedAnswers`: how many requests before it on the connection have no whole answer yet', fields: ['reason', 'owedAnswers']},
	answer_unfinished: {
		meaning: 'A request got no whole answer. `reason`: which side closed the connection, why its input ended, or that the process ended; `wasRead`: whether the request was read whole; `sentBytes`: what the connection took of its answer and those before it; `unsentBytes`: what was still in the process; `sinceSignalMs`: time since SIGTERM; `awaited`: what the call waited for, and since when; `sends`: its backend servers or peers, what each answered, and why the answer ended early',
		fields: ['request', 'reason', 'awaited', 'awaitedMs', 'sends', 'status', 'wasRead', 'sentBytes', 'unsentBytes', 'sinceSignalMs'],
	},
} as const satisfies Readonly<Record<string, LogEvent>>;
/* eslint-enable @typescript-eslint/naming-convention */

export type EventName = keyof typeof logEvents;

export type EventFields<Event extends EventName> = Readonly<Partial<Record<(typeof logEvents)[Event]['fields'][number], unknown>>>;
