/**
 * What proves that an answer belongs to the call that was written last on its connection. Backend servers may send a second copy of an answer at any time after it.
 * docs/design/proof-of-answers.md has the table.
 */
import type http from 'node:http';
import {type Call} from '@shallotpass/core/calls/types.js';
import {type BackendHeaders, type WireFormat} from '../ports.js';

type HeadOfAnswer = Pick<BackendHeaders, 'requestId' | 'isNotExecuted' | 'isOtherBackend'>;

type ReceivedHead = Pick<http.IncomingMessage, 'statusMessage' | 'rawHeaders'>;

/** Whether the head turns a call away without naming it. */
const isUnnamed = ({requestId, isNotExecuted, isOtherBackend}: HeadOfAnswer): boolean => requestId === undefined && (isNotExecuted || isOtherBackend);

/** Makes the function that tells whether an answer turns a call away without naming it. */
export const makeIsUnnamedRefusal = (wire: WireFormat) => ({statusCode = 0, headers}: http.IncomingMessage): boolean => isUnnamed(wire.parseBackendHeaders(statusCode, headers));

/**
 * `own`: the answer to the call. `other`: not, or nothing says so. `unproven_refusal`: a refusal that may be the second copy of an earlier one; the call may be
 * running.
 */
export type Proof = 'own' | 'other' | 'unproven_refusal';

/** The beginning of an answer. */
const statusLinePattern = /HTTP\/1\.\d \d{3}/v;

/** Whether the beginning of another head, which broke off, stands before that of the answer: the status line of the answer is then in a reason phrase or a field. */
const isJoined = ({statusMessage = '', rawHeaders}: ReceivedHead): boolean => statusLinePattern.test(statusMessage) || rawHeaders.some(text => statusLinePattern.test(text));

/** Judges an answer by its head. `isDoubtful`: whether a refusal without an id has come on the connection before. */
export const judgeAnswer = (head: HeadOfAnswer, response: ReceivedHead, call: Call, isDoubtful: boolean): Proof => {
	if (isJoined(response)) {
		return 'other';
	}

	if (head.requestId !== undefined) {
		return head.requestId === call.id ? 'own' : 'other';
	}

	if (!isUnnamed(head)) {
		return 'other';
	}

	return isDoubtful ? 'unproven_refusal' : 'own';
};

/**
 * Whether the call may be sent on a doubtful connection. A refusal there proves nothing, so the call counts as possibly run: it must be idempotent, and have an attempt
 * to spare.
 */
export const acceptsDoubt = ({repeatability, maxAttempts}: Call, possibleRuns: number): boolean => repeatability === 'idempotent' && maxAttempts - possibleRuns > 1;
