/** Notices that the settings file has changed: the platform may say so by SIGHUP, or change it without a word. */
import {readFileSync} from 'node:fs';
import {type FileMistake, type FileReading} from '@shallotpass/common/toml-file.js';

/** Between two looks at the file, in milliseconds; it has 1 kB. */
const lookEveryMs = 2000;

export type SettingsWatch<Settings> = {
	readonly path: string;
	readonly read: (text: string) => FileReading<Settings>;
	readonly onChange: (settings: Settings) => void;
	/** The file cannot be read or has mistakes: what was in force stays. */
	readonly onRefusal: (mistakes: readonly FileMistake[]) => void;
};

export type SettingsWatcher = {
	/** Looks at once. */
	readonly look: () => void;
	readonly stop: () => void;
};

export const watchSettings = <Settings>({path, read, onChange, onRefusal}: SettingsWatch<Settings>): SettingsWatcher => {
	const readText = (): string | undefined => {
		try {
			return readFileSync(path, 'utf8');
		} catch (error) {
			onRefusal([{place: path, expected: 'a readable file', found: String(error)}]);
			return undefined;
		}
	};

	let known = readText();
	const look = (): void => {
		const text = readText();
		if (text === undefined || text === known) {
			return;
		}

		known = text;
		const reading = read(text);
		if (reading.kind === 'read') {
			onChange(reading.value);
		} else {
			onRefusal(reading.mistakes);
		}
	};

	const timer = setInterval(look, lookEveryMs);
	timer.unref();
	return {
		look,
		stop() {
			clearInterval(timer);
		},
	};
};
