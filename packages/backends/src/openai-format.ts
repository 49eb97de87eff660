/* eslint-disable @typescript-eslint/naming-convention -- names of the OpenAI wire format */
/** The parts of OpenAI's chat completion format that are parsed here. All other fields are forwarded unchanged. */
import * as z from 'zod';

const messageSchema = z.looseObject({
	role: z.string(),
	content: z.unknown().optional(),
});

export const chatRequestSchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(messageSchema).min(1),
	stream: z.boolean().optional(),
	max_tokens: z.int().positive().nullish(),
	max_completion_tokens: z.int().positive().nullish(),
});

export type ChatRequest = z.output<typeof chatRequestSchema>;

/** Expected response length if the request sets no maximum. */
const defaultExpectedTokens = 200;

export const getExpectedTokens = (request: ChatRequest): number =>
	request.max_completion_tokens ?? request.max_tokens ?? defaultExpectedTokens;

const toText = (content: unknown): string => typeof content === 'string' ? content : JSON.stringify(content ?? '');

/** Joins the messages to one text, in the order in which the engine processes them. */
export const joinPrompt = (request: ChatRequest): string =>
	request.messages.map(message => `${message.role}\n${toText(message.content)}\n`).join('');

type ChatChunk = {
	readonly id: string;
	readonly choices?: ReadonlyArray<{readonly delta?: Record<string, unknown>; readonly finish_reason?: unknown}>;
};

export const isChatChunk = (value: unknown): value is ChatChunk => {
	if (typeof value !== 'object' || value === null || !('id' in value) || typeof value.id !== 'string') {
		return false;
	}

	return !('choices' in value) || Array.isArray(value.choices);
};

/** Whether the chunk carries content or tool calls. Only these chunks count towards the resume position. */
export const isTokenChunk = (chunk: ChatChunk): boolean => {
	const delta = chunk.choices?.[0]?.delta;
	if (delta === undefined || delta === null) {
		return false;
	}

	return (typeof delta.content === 'string' && delta.content !== '') || Array.isArray(delta.tool_calls);
};

export const isFinishChunk = (chunk: ChatChunk): boolean =>
	chunk.choices?.some(choice => choice.finish_reason !== undefined && choice.finish_reason !== null) ?? false;
