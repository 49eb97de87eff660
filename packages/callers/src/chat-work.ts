/** One chat request: what stays the same over its tries, and what they have come to. */
import {type Service} from '@shallotpass/common/configuration-schema.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {type StreamPosition} from '@shallotpass/backends/collect-chunks.js';
import {type ChatRequest} from '@shallotpass/backends/openai-format.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {type CallClass, type CallerCall} from './caller-call.js';
import {type RetryBudgets} from './retry-budgets.js';
import {type CallerServices} from './services.js';

/** All that stays the same over the tries of one request. */
export type ChatWork = {
	readonly call: CallerCall;
	readonly services: CallerServices;
	readonly budgets: RetryBudgets;
	readonly budgetName: string;
	readonly chat: ChatRequest;
	readonly service: Service;
	readonly serviceId: string;
	readonly callClass: CallClass;
	readonly fingerprint: string;
	readonly promptTokens: number;
	readonly chain: readonly bigint[];
	readonly deadline: Deadline;
	/** Whether the caller named the deadline, and so can be told early that it cannot be met. */
	readonly isDeadlineAsked: boolean;
};

/** What the tries have come to so far. */
export type Progress = {
	position: StreamPosition;
	readonly excluded: Set<string>;
	tries: number;
	/** Tries that ended before anything was sent. */
	unsentTries: number;
	firstTokenAt: number | undefined;
};

/** One try: where, and what another try may mend; no failure when the answer is whole. */
export type Tried = {
	readonly engine: BackendView;
	readonly failure: unknown;
};
