/**
 * Test fakes of the ports, and helpers, that several packages use.
 */
export * from './fakeClock.js';
export * from './recordingLogger.js';
export * from './seededRandom.js';
export * from './waitUntil.js';
