/**
 * Must be imported before all other modules. SIGHUP terminates a process that has no handler for it, and
 * the platform may send it after a settings change while the modules are still loading, which takes 0.1 s
 * or more. The signal can be ignored at this stage, because the settings are read afterwards.
 */
import process from 'node:process';

process.on('SIGHUP', () => {/* the settings are read later */});
