/** State of one chat request: what is fixed for all attempts, and the progress made so far. */
import {type Service} from '@shallotpass/common/configuration-schema.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {type StreamPosition} from '@shallotpass/backends/collect-chunks.js';
import {type ChatRequest} from '@shallotpass/backends/openai-format.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {type CallClass, type CallerCall} from './caller-call.js';
import {type RetryBudgets} from './retry-budgets.js';
import {type CallerServices} from './services.js';

/** Everything that stays the same across the attempts of one request. */
export type ChatContext = {
	readonly call: CallerCall;
	readonly services: CallerServices;
	readonly budgets: RetryBudgets;
	/** Key of the retry budget, which is shared by the requests of one client account to one service. */
	readonly budgetName: string;
	readonly chat: ChatRequest;
	readonly service: Service;
	readonly serviceId: string;
	readonly callClass: CallClass;
	/** Hash of the model and the prompt. It identifies requests that crash engines. */
	readonly fingerprint: string;
	readonly promptTokens: number;
	/** Chained hashes of the prompt's blocks, used to find engines that have a prefix cached. */
	readonly prefixHashes: readonly bigint[];
	readonly deadline: Deadline;
	/** Whether the caller set the deadline. Only then is a request rejected early if it is not expected to meet it. */
	readonly hasCallerDeadline: boolean;
};

/** Progress across the attempts so far. */
export type ChatProgress = {
	/** Position in the stream up to which the caller has received the response. */
	position: StreamPosition;
	/** Ids of the engines that are not chosen again unless no other engine is available. */
	readonly excluded: Set<string>;
	/** Attempts so far, without those that failed before anything was sent. */
	attempts: number;
	/** Attempts that failed before anything was sent. */
	unsentAttempts: number;
	/** Time of the first token in the latest attempt. */
	firstTokenAt: number | undefined;
};

/** Result of one attempt. `failure` is undefined if the response is complete; otherwise another attempt may succeed. */
export type AttemptResult = {
	readonly engine: BackendView;
	readonly failure: unknown;
};
