// Package docs holds the documentation pages of the project. Its tests check that the
// pages match the code.
package docs
