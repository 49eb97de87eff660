import {readFileSync} from 'node:fs';
import {settingsSchema, type Settings} from '@shallotpass/common/settings-schema.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';

export type SettingsReading =
	| {readonly kind: 'read'; readonly settings: Settings}
	| {readonly kind: 'mistakes'; readonly lines: readonly string[]};

/** Reads and validates a settings file. Each mistake becomes a line with the file, the key, the expected and the actual value. */
export const readSettings = (fileName: string): SettingsReading => {
	let text: string;
	try {
		text = readFileSync(fileName, 'utf8');
	} catch (error) {
		return {kind: 'mistakes', lines: [`${fileName}: cannot be read: ${error instanceof Error ? error.message : 'unknown'}`]};
	}

	const reading = readToml(text, settingsSchema);
	return reading.kind === 'read'
		? {kind: 'read', settings: reading.value}
		: {kind: 'mistakes', lines: reading.mistakes.map(mistake => formatMistake(fileName, mistake))};
};
