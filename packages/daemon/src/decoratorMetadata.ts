/**
 * Loads the metadata support that tsyringe needs before any decorated class is defined.
 */
import 'reflect-metadata';
