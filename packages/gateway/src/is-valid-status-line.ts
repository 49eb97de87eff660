/** Checks the status line of an answer, of which Node reads more than HTTP has. */
import type http from 'node:http';
import {isFinalStatus} from '@shallotpass/common/is-final-status.js';

/** Versions in which connections speak that begin without another agreement. */
const versions: ReadonlySet<string> = new Set(['1.0', '1.1']);

/** A final status in a version that was asked for, and a reason phrase that can be sent on. */
export const isValidStatusLine = ({httpVersion, statusCode = 0, statusMessage = ''}: http.IncomingMessage): boolean =>
	versions.has(httpVersion) && isFinalStatus(statusCode) && /^[\t\u0020-\u007E\u0080-\u00FF]*$/v.test(statusMessage);
