/** Records at which version of the software a stream began, and tells others. */
import {trackPendingOrigin} from '../origins/origin-state.js';
import {recordStream} from '../origins/record-stream.js';
import {setVersion} from './peer-call.js';
import {type Attempt} from './run-at-backend.js';
import {type StreamState} from './stream-state.js';

/** Tells a peer at which version the stream goes on here, before the head of the answer is sent. */
export const announceVersion = ({context: {isFromPeer, response}, progress}: StreamState, {softwareVersion}: Attempt): void => {
	if (isFromPeer && softwareVersion !== undefined) {
		progress.softwareVersion = softwareVersion;
		setVersion(response, softwareVersion);
	}
};

const recordVersion = ({context, call, continuity, progress}: StreamState, attempt: Attempt, softwareVersion: string | undefined): void => {
	progress.softwareVersion ??= softwareVersion;
	if (continuity !== undefined) {
		recordStream(context.gateway, call, continuity, {attempt, softwareVersion});
	}
};

/** Records the version once it is known, while events are sent on. */
const recordLaterVersion = async (stream: StreamState, attempt: Attempt, laterVersion: Promise<string | undefined>): Promise<void> => {
	recordVersion(stream, attempt, await laterVersion);
};

/** Fixes the version at which the stream goes on, and remembers it for a caller that comes back. */
export const recordFirstEvents = (stream: StreamState, attempt: Attempt): void => {
	if (stream.hasEvents) {
		return;
	}

	stream.hasEvents = true;
	if (attempt.softwareVersion === undefined && attempt.laterVersion !== undefined) {
		stream.pendingVersion = recordLaterVersion(stream, attempt, attempt.laterVersion);
		if (stream.continuity !== undefined) {
			void trackPendingOrigin(stream.context.gateway.origins, stream.continuity.originKey, stream.pendingVersion);
		}

		return;
	}

	recordVersion(stream, attempt, attempt.softwareVersion);
};
