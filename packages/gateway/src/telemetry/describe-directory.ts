/** What a log line tells of this daemon's directory: how old it is and where it came from. */
import {type GatewayState} from '../gateway-state.js';

export type DirectoryDescription = {readonly directoryAgeMs: number; readonly directorySource: string};

export const describeDirectory = ({clocks, directoryStatus}: Pick<GatewayState, 'clocks' | 'directoryStatus'>): DirectoryDescription => ({
	directoryAgeMs: Math.round(clocks.steady() - directoryStatus.confirmedAt), directorySource: directoryStatus.source,
});
