/** Runs an experiment by its name or the path of its TOML file. */
import {existsSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {type Experiment, type Report} from './experiment.js';
import {fleetExperiment} from './fleet-experiment.js';
import {historyExperiment} from './history-experiment.js';
import {claimsExperiment} from './claims-experiment.js';
import {configurationExperiment} from './configuration-experiment.js';
import {membershipExperiment} from './membership-experiment.js';
import {slopesExperiment} from './slopes-experiment.js';
import {reclaimExperiment} from './reclaim-experiment.js';
import {pathExperiment} from './path-experiment.js';
import {policiesExperiment} from './policies-experiment.js';
import {prefixesExperiment} from './prefixes-experiment.js';
import {routingExperiment} from './routing-experiment.js';

const experiments: ReadonlyArray<Experiment<any>> = [pathExperiment, claimsExperiment, configurationExperiment, fleetExperiment, historyExperiment, membershipExperiment, policiesExperiment, prefixesExperiment, reclaimExperiment, routingExperiment, slopesExperiment];

const getFolder = (): string => fileURLToPath(new URL('../experiments/', import.meta.url));

const getFile = (name: string): string => name.endsWith('.toml') ? name : `${getFolder()}${name}.toml`;

export const runExperiment = async (name: string, seed: number | undefined, printLine: (line: string) => void): Promise<Report> => {
	const file = getFile(name);
	if (!existsSync(file)) {
		throw new Error(`unknown experiment "${name}"; available experiments: ${experiments.map(item => item.name).join(', ')}`);
	}

	const text = readFileSync(file, 'utf8');
	const kind = /^experiment *= *"(?<kind>[a-z\-]+)"/mv.exec(text)?.groups?.kind;
	const experiment = experiments.find(item => item.name === kind);
	if (experiment === undefined) {
		throw new Error(`${file}: experiment: expected one of ${experiments.map(item => item.name).join(', ')}, found ${kind ?? 'nothing'}`);
	}

	const result = readToml(text, experiment.schema);
	if (result.kind === 'mistakes') {
		throw new Error(result.mistakes.map(mistake => formatMistake(file, mistake)).join('\n'));
	}

	const options = result.value as Record<string, unknown>;
	return experiment.run(seed === undefined ? options : {...options, seed}, printLine);
};
