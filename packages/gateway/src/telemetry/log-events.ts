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
	started: {meaning: 'The process listens; its settings were read', fields: ['incarnation', 'listen', 'isFirstStart']},
	store_source_changed: {
		meaning: 'This daemon reads the store itself from now on, or learns from other daemons what it holds',
		fields: ['isServed', 'rank', 'configurationAgeMs', 'directoryAgeMs', 'sources'],
	},
	members_read: {meaning: 'The daemons that stand in the store were read', fields: ['members', 'known']},
	draining: {meaning: 'SIGTERM came: calls in flight are finished, no new ones are wanted', fields: ['activeCalls', 'graceMs']},
	stopped: {meaning: 'The process ends; calls in flight then were broken off', fields: ['activeCalls', 'tookMs']},
	reload_asked: {meaning: 'SIGHUP came', fields: ['path']},
	settings_taken: {meaning: 'Changed settings are in force', fields: ['bounds', 'store']},
	settings_refused: {meaning: 'The settings file has mistakes; those of before stay in force', fields: ['mistakes']},
	figures: {
		meaning: 'Every ten seconds: what metrics would show',
		fields: ['storeCalls', 'daemons', 'activeCalls', 'backends', 'configuration', 'configurationAgeMs', 'rssMb'],
	},
	lines_left_out: {
		meaning: 'So many lines of an event were left out in a second, and so many were dropped in all as nobody read them',
		fields: ['of', 'count', 'dropped'],
	},
	metrics_unavailable: {meaning: 'The metrics address cannot be had; calls are served without it', fields: ['address', 'reason']},
	configuration_taken: {meaning: 'A newer configuration is in force', fields: ['version', 'before', 'source', 'routes', 'accounts']},
	configuration_unreadable: {meaning: 'A record is no configuration; the one of before stays in force', fields: ['offset', 'bytes']},
	store_lost: {meaning: 'The store stopped answering for a topic', fields: ['topic', 'reason']},
	store_regained: {meaning: 'The store answers again', fields: ['topic', 'wasAwayForAll']},
	backend_joined: {meaning: 'A backend server is in the directory', fields: ['backend', 'address', 'service', 'zone', 'reclaimable', 'leavesInMs', 'offset']},
	backend_restarted: {meaning: 'A backend server has started anew under its id; what was known of it is dropped', fields: ['backend', 'address', 'service', 'zone', 'reclaimable', 'leavesInMs', 'offset']},
	backend_leaving: {meaning: 'A backend server gets no new calls', fields: ['backend', 'address', 'service', 'zone', 'reclaimable', 'leavesInMs', 'offset']},
	backend_gone: {meaning: 'A backend server is out of the directory', fields: ['backend', 'address', 'service', 'zone', 'reclaimable', 'leavesInMs', 'offset']},
	backend_unreachable: {meaning: 'A backend server took no connection, fell silent or is another one; it is left alone for a while', fields: ['backend', 'address', 'reason', 'failures', 'pauseMs']},
	directory_from_peer: {meaning: 'Another daemon knew a newer directory', fields: ['next', 'before', 'ageMs']},
	peer_joined: {meaning: 'Another daemon, or the sum of a zone, was heard for the first time', fields: ['peer', 'address', 'incarnation', 'daemons']},
	peer_forgotten: {meaning: 'A daemon was silent for too long to be counted', fields: ['peer', 'silentMs']},
	gossip_unreadable: {meaning: 'A datagram is no report', fields: ['error']},
	peer_socket_failed: {meaning: 'GossipReport cannot be sent or heard', fields: ['error']},
	peer_request_failed: {meaning: 'Another daemon\'s question could not be answered', fields: ['error']},
	relay_passed_over: {meaning: 'A relay was silent; the next one is told instead', fields: ['address', 'silentMs']},
	lease_taken: {meaning: 'This daemon does the duties', fields: ['fence', 'before']},
	lease_lost: {meaning: 'This daemon does no duties any more', fields: ['reason', 'fence', 'offset']},
	spending_read: {meaning: 'It is known what accounts spent before the start, or the store is away', fields: ['isKnown', 'inherited']},
	usage_report: {meaning: 'The usage of a window was reported', fields: ['window', 'counts', 'fence', 'outcome']},
	backend_order: {meaning: 'Backend servers were ordered', fields: ['service', 'availabilityZone', 'isReclaimable', 'count', 'fence', 'outcome']},
	duty_failed: {meaning: 'A mistake of the program in a duty', fields: ['error']},
	call_placed: {
		meaning: 'A call was sent to a backend server, with what was believed of it and what came back',
		fields: ['request', 'service', 'backend', 'predictedMs', 'cachedTokens', 'own', 'others', 'tokensPerMs', 'offer', 'result', 'reason'],
	},
	call_ended: {
		meaning: 'What became of a call',
		fields: ['request', 'account', 'route', 'service', 'kind', 'outcome', 'detail', 'status', 'tookMs', 'firstMs', 'longestPauseMs', 'configuration'],
	},
	call_moved: {
		meaning: 'A run was stopped at a backend server that leaves; its memory is at another one, or it goes on where it was',
		fields: ['request', 'from', 'to', 'outcome', 'reason', 'leavesInMs', 'tookMs'],
	},
	call_suspected: {meaning: 'A backend server ended while the call was there', fields: ['digest', 'backend', 'ends']},
	call_crashed: {meaning: 'A mistake of the program in a call', fields: ['request', 'error']},
	limit_reached: {
		meaning: 'A call was refused as its account had spent its limit',
		fields: ['request', 'account', 'cost', 'room', 'level', 'own', 'inherited', 'spent', 'usable', 'daemons'],
	},
	request_unreadable: {meaning: 'Bytes on a connection are no request', fields: ['reason']},
} as const satisfies Readonly<Record<string, LogEvent>>;
/* eslint-enable @typescript-eslint/naming-convention */

export type EventName = keyof typeof logEvents;

export type FieldsOf<Event extends EventName> = Readonly<Partial<Record<(typeof logEvents)[Event]['fields'][number], unknown>>>;
