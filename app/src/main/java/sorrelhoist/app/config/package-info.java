/**
 * Settings files: they are evaluated as Jsonnet, read into the settings records of the programs
 * (the names of record components are the keys), and validated completely before a program starts.
 */
package sorrelhoist.app.config;
