/**
 * Loads the reflection polyfill that tsyringe needs. It has to be imported before any decorated class is defined.
 */
import 'reflect-metadata';
