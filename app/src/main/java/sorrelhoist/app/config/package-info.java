/**
 * Settings files: evaluated as Jsonnet, read into the records of the programs that they configure
 * (the names of record components are the keys), and validated as a whole before anything starts.
 */
package sorrelhoist.app.config;
