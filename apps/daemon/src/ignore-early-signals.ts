/**
 * Imported before all else. A process that has not asked for SIGHUP dies of it, and the platform may
 * say that the settings have changed while this one still loads its modules, for 0.1 s and more. Nothing
 * is lost by ignoring it: the settings are read afterwards.
 */
import process from 'node:process';

process.on('SIGHUP', () => {/* the settings are read later on */});
