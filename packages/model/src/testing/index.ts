/**
 * Test fakes of the ports that several packages use.
 */
export * from './fakeClock.js';
export * from './seededRandom.js';
