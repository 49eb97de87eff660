/** A call on its way through the daemon, and what its admission made of it. */
import type http from 'node:http';
import {type BodyHold} from '@shallotpass/common/client-limits/held-bytes.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {type Call} from '@shallotpass/core/calls/types.js';
import {type GatewayState} from '../gateway-state.js';
import {type Continuity} from '../origins/continuity.js';
import {type CallerHeaders} from '../ports.js';
import {type CallTrace} from '../telemetry/call-trace.js';
import {type CallerPresence} from './caller-presence.js';
import {type OutgoingRequest} from './run-at-backend.js';

export type CallContext = {
	readonly gateway: GatewayState;
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly head: CallerHeaders;
	/** Whether another daemon sent the call. It is never sent on to a further one. */
	readonly isFromPeer: boolean;
	readonly timing: ResponseTiming;
	readonly caller: CallerPresence;
	readonly trace: CallTrace;
	/** Released when the call has ended. Written by the admission. */
	bodyHold: BodyHold | undefined;
};

/** Timing of the response as sent to the caller; times are on the steady clock. */
export type ResponseTiming = {
	firstByteAt: number | undefined;
	lastEventAt: number;
	longestPauseMs: number;
};

/** An admitted call and the request to send to a backend server. */
export type AdmittedCall = {
	readonly call: Call;
	readonly outgoing: OutgoingRequest;
	/** Undefined if it is no stream that its caller may take up, or another daemon sent it. */
	readonly continuity?: Continuity | undefined;
	/** Until when an answer that has begun may last: the latest moment that the deadline may be. Undefined if the deadline is exact. */
	readonly answerDeadline?: Deadline | undefined;
};
